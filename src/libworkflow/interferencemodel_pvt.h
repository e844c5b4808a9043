#pragma once

#include "fescueledge/types.h"
#include "takenheadroom_pvt.h"

#include <map>
#include <string>

namespace fescueledge::workflow {

class ServingTrend;

/// Shares of a worker's processors in use by fillers, by image.
using FillerLoad = std::map<std::string, double>;

/// Learns from gauges how much headroom fillers of each image take from serving tasks of each image.
///
/// Headroom is target / tail (see ServingTrend): `headroom = trend of the step - sum of effect(serving, filler) *
/// load(filler)`. Each gauge corrects the trend and the effects of the fillers that were present, each in proportion
/// to how uncertain it is (a Kalman filter that leaves out the covariances between effects). An effect is never below
/// zero.
class InterferenceModel
{
public:
    /// Takes in one gauge: @p headroom of a task of image @p serving, whose step has @p trend, beside @p load.
    void learn(const std::string &serving, ServingTrend *trend, double headroom, const FillerLoad &load, TimePoint now);

    /// Headroom that @p load takes from a task of image @p serving. A pair that was never seen together counts as
    /// risky.
    TakenHeadroom takenHeadroom(const std::string &serving, const FillerLoad &load) const;
    /// The same for a filler of image @p filler that uses @p share of the worker.
    TakenHeadroom takenHeadroom(const std::string &serving, const std::string &filler, double share) const;
    /// Headroom without fillers of a step of image @p serving that was not gauged yet.
    double usualHeadroom(const std::string &serving) const;

    /// The model as the value of a row, and back; returns false and leaves the model as it is if it can't be read.
    std::string encode() const;
    bool decode(const std::string &value);

private:
    /// Headroom that a filler takes for each share of a worker that it uses.
    struct Effect
    {
        Effect();
        double mean;
        double variance;
    };
    /// What is known of one serving image.
    struct ServingImage
    {
        ServingImage();
        double usualHeadroom;
        std::map<std::string, Effect> effects;
    };

    Effect effectOf(const std::string &serving, const std::string &filler) const;

    std::map<std::string, ServingImage> m_servingImages;
};

} // namespace fescueledge::workflow
