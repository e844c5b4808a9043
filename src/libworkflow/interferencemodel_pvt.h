#pragma once

#include "fescueledge/types.h"
#include "takenheadroom_pvt.h"

#include <map>
#include <string>
#include <unordered_map>

namespace fescueledge::workflow {

class ServingTrend;

/// Shares of a worker's processors in use by fillers, by image.
using FillerLoad = std::map<std::string, double>;

/// Learns from gauges how much headroom fillers of each image take from serving tasks of each image.
///
/// Headroom is target / tail (see ServingTrend): `headroom = trend of the step - sum of effect(serving, filler) *
/// load(filler)`. Each gauge corrects the trend and the effects of the fillers that were present, each in proportion to
/// its variance (a Kalman filter without the covariances between effects). An effect is never below zero.
class InterferenceModel
{
public:
    /// Updates the model with one gauge: @p headroom of a task of image @p serving, whose step has @p trend, beside @p
    /// load.
    void learn(const std::string &serving, ServingTrend *trend, double headroom, const FillerLoad &load, TimePoint now);

    /// Headroom that @p load takes from a task of image @p serving. A pair that was never gauged together gets a
    /// cautious estimate with a high variance.
    TakenHeadroom takenHeadroom(const std::string &serving, const FillerLoad &load) const;
    /// The same for a filler of image @p filler that uses @p share of the worker.
    TakenHeadroom takenHeadroom(const std::string &serving, const std::string &filler, double share) const;
    /// Expected headroom without fillers of a step of image @p serving that has not been gauged yet.
    double usualHeadroom(const std::string &serving) const;

    /// The model as the value of a row, and back. decode() returns false and leaves the model unchanged if @p value
    /// can't be read.
    std::string encode() const;
    bool decode(const std::string &value);

private:
    /// Headroom that a filler takes per share of the worker that it uses.
    struct Effect
    {
        Effect();
        double mean;
        double variance;
    };
    /// Estimates for one serving image.
    struct ServingImage
    {
        ServingImage();
        double usualHeadroom;
        std::unordered_map<std::string, Effect> effects;
    };

    Effect effectOf(const std::string &serving, const std::string &filler) const;

    std::unordered_map<std::string, ServingImage> m_servingImages;
};

} // namespace fescueledge::workflow
