#include "nearestname_pvt.h"

#include <algorithm>
#include <numeric>

namespace fescueledge {

namespace {

/// Levenshtein distance of @p a and @p b.
std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(const std::string &name, const std::vector<std::string> &known)
{
    std::string nearest;
    std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string &candidate : known) {
        std::size_t distance = editDistance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string suggestName(const std::string &name, const std::vector<std::string> &known)
{
    std::string nearest = nearestName(name, known);
    if (!nearest.empty()) {
        return "did you mean " + nearest + "?";
    }
    std::string text = "known are:";
    for (const std::string &it : known) {
        text += " " + it;
    }
    return known.empty() ? std::string("none is known") : text;
}

} // namespace fescueledge
