#include "interferencemodel_pvt.h"

#include "servingtrend_pvt.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

namespace {

/// Prior for an unknown pair: most fillers take little headroom from most images, some take several times their share.
constexpr double initialEffect = 1;
constexpr double initialEffectVariance = 16;
/// Lower bound of the variance of an effect, so that the model keeps following changes.
constexpr double minEffectVariance = 0.1;
/// Standard deviation of a gauge as a share of the headroom, and the variance that rounding adds.
constexpr double gaugeNoise = 0.12;
constexpr double roundingVariance = 0.02;
/// Above this headroom a tail is so short that rounding dominates it.
constexpr double maxHeadroom = 6;
/// Prior for an image that was never gauged: somewhat more than its target leaves at its usual load.
constexpr double initialUsualHeadroom = 2;
/// Weight of the trend at each gauge in the running average of the usual headroom of its image.
constexpr double usualHeadroomGain = 0.01;
/// Stored values have two decimals.
constexpr double rowPrecision = 100;

double rounded(double value)
{
    return std::round(value * rowPrecision) / rowPrecision;
}

} // namespace

InterferenceModel::Effect::Effect()
    : mean(initialEffect)
    , variance(initialEffectVariance)
{
}

InterferenceModel::ServingImage::ServingImage()
    : usualHeadroom(initialUsualHeadroom)
{
}

void InterferenceModel::learn(const std::string &serving, ServingTrend *trend, double headroom, const FillerLoad &load,
                              TimePoint now)
{
    ServingImage &known = m_servingImages[serving];
    if (!trend->isInitialized()) {
        trend->initialize(known.usualHeadroom, now);
    }
    trend->advance(now);
    const double gauge = std::min(headroom, maxHeadroom);
    const double expected = trend->headroomAt(now) - takenHeadroom(serving, load).expected;
    const double noise = gaugeNoise * std::max(gauge, expected);
    double total = trend->variance() + noise * noise + roundingVariance;
    for (const auto &[image, share] : load) {
        total += known.effects[image].variance * share * share;
    }
    const double error = gauge - expected;
    trend->correct(error, total);
    for (const auto &[image, share] : load) {
        Effect &effect = known.effects[image];
        const double gain = effect.variance * share / total;
        effect.mean = std::max(0.0, effect.mean - gain * error);
        effect.variance = std::max(minEffectVariance, effect.variance * (1 - gain * share));
    }
    known.usualHeadroom += usualHeadroomGain * (trend->headroomAt(now) - known.usualHeadroom);
}

InterferenceModel::Effect InterferenceModel::effectOf(const std::string &serving, const std::string &filler) const
{
    const auto known = m_servingImages.find(serving);
    if (known == m_servingImages.end()) {
        return Effect();
    }
    const auto effect = known->second.effects.find(filler);
    return effect == known->second.effects.end() ? Effect() : effect->second;
}

TakenHeadroom InterferenceModel::takenHeadroom(const std::string &serving, const FillerLoad &load) const
{
    TakenHeadroom sum;
    for (const auto &[image, share] : load) {
        sum += takenHeadroom(serving, image, share);
    }
    return sum;
}

TakenHeadroom InterferenceModel::takenHeadroom(const std::string &serving, const std::string &filler,
                                               double share) const
{
    const Effect effect = effectOf(serving, filler);
    return TakenHeadroom{effect.mean * share, effect.variance * share * share};
}

double InterferenceModel::usualHeadroom(const std::string &serving) const
{
    const auto known = m_servingImages.find(serving);
    return known == m_servingImages.end() ? initialUsualHeadroom : known->second.usualHeadroom;
}

std::string InterferenceModel::encode() const
{
    json out = json::object();
    for (const auto &[image, serving] : m_servingImages) {
        json effects = json::object();
        for (const auto &[filler, effect] : serving.effects) {
            effects[filler] = {rounded(effect.mean), rounded(effect.variance)};
        }
        out[image] = {{"usual", rounded(serving.usualHeadroom)}, {"effects", effects}};
    }
    return out.dump();
}

bool InterferenceModel::decode(const std::string &value)
{
    try {
        std::unordered_map<std::string, ServingImage> read;
        const json in = json::parse(value);
        if (!in.is_object()) {
            return false;
        }
        for (const auto &[image, entry] : in.items()) {
            ServingImage &serving = read[image];
            serving.usualHeadroom = entry.at("usual").get<double>();
            for (const auto &[filler, effect] : entry.at("effects").items()) {
                serving.effects[filler].mean = effect.at(0).get<double>();
                serving.effects[filler].variance = effect.at(1).get<double>();
            }
        }
        m_servingImages = std::move(read);
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

} // namespace fescueledge::workflow
