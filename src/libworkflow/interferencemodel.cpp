#include "interferencemodel_pvt.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace fescueledge::workflow {

using nlohmann::json;

namespace {

/// Share of an error that one gauge corrects. Some ten gauges a second come for each pair: learnt in a second or two.
constexpr double effectRate = 0.05;
constexpr double blameAbove = 0.8;
constexpr double baseRate = 0.05;
/// The base moves slower while fillers are present: they, too, may be the cause.
constexpr double sharedBaseRate = 0.015;
/// Keeps corrections small when only little filler load is present: it explains little.
constexpr double regularization = 0.02;
/// Gauges above this many targets say no more than that.
constexpr double largestTail = 6;
constexpr double leastBase = 0.1;
constexpr double largestBase = 1;

} // namespace

void InterferenceModel::learn(const std::string &serving, double tail, const FillerLoad &load)
{
    Serving &known = m_serving[serving];
    const double error = std::min(tail, largestTail) - known.base - added(serving, load);
    double norm = regularization;
    for (const auto &[image, share] : load) {
        norm += share * share;
    }
    // A serving task's own load lengthens its tail as well, by up to half; only what is beyond that blames fillers.
    const double blame = error > 0 && tail < blameAbove ? 0 : error;
    for (const auto &[image, share] : load) {
        double &effect = known.effects[image];
        effect = std::max(0.0, effect + effectRate * blame * share / norm);
    }
    known.base += (load.empty() ? baseRate : sharedBaseRate) * error;
    known.base = std::clamp(known.base, leastBase, largestBase);
}

double InterferenceModel::added(const std::string &serving, const FillerLoad &load) const
{
    double sum = 0;
    for (const auto &[image, share] : load) {
        sum += added(serving, image, share);
    }
    return sum;
}

double InterferenceModel::added(const std::string &serving, const std::string &filler, double share) const
{
    const auto known = m_serving.find(serving);
    if (known == m_serving.end()) {
        return 0;
    }
    const auto effect = known->second.effects.find(filler);
    return effect == known->second.effects.end() ? 0 : effect->second * share;
}

std::string InterferenceModel::encode() const
{
    json out = json::object();
    for (const auto &[image, serving] : m_serving) {
        json effects = json::object();
        for (const auto &[filler, effect] : serving.effects) {
            effects[filler] = std::round(effect * 10) / 10;
        }
        out[image] = {{"base", std::round(serving.base * 100) / 100}, {"effects", effects}};
    }
    return out.dump();
}

void InterferenceModel::decode(const std::string &value)
{
    const json in = json::parse(value, nullptr, false);
    if (!in.is_object()) {
        return;
    }
    for (const auto &[image, entry] : in.items()) {
        Serving serving;
        serving.base = entry.value("base", serving.base);
        serving.effects = entry.value("effects", serving.effects);
        m_serving[image] = serving;
    }
}

} // namespace fescueledge::workflow
