#pragma once

#include <map>
#include <string>

namespace fescueledge::workflow {

/// Shares of a worker's processors in use by fillers, by image.
using FillerLoad = std::map<std::string, double>;

/// Learns from gauges how much fillers of each image lengthen the tails of serving tasks of each image.
///
/// Tails are taken as a share of their target: `base(serving) + sum of effect(serving, filler) * load(filler)`. Each
/// gauge corrects the effects of the fillers that were present, in proportion to their load (normalized least mean
/// squares). An effect is never below zero.
class InterferenceModel
{
public:
    /// Takes in one gauge: the tail of a task of image @p serving, as a share of its target, beside @p load.
    void learn(const std::string &serving, double tail, const FillerLoad &load);

    /// How much of its target @p load adds to the tail of a task of image @p serving.
    double added(const std::string &serving, const FillerLoad &load) const;
    /// The same for a filler of image @p filler that uses @p share of the worker.
    double added(const std::string &serving, const std::string &filler, double share) const;

    /// The model as the value of a row, and back; what can't be read leaves the model as it is.
    std::string encode() const;
    void decode(const std::string &value);

private:
    /// What is known of one serving image.
    struct Serving
    {
        double base = 0.5; ///< Until gauges tell: targets are a few times the undisturbed tail.
        std::map<std::string, double> effects;
    };

    std::map<std::string, Serving> m_serving;
};

} // namespace fescueledge::workflow
