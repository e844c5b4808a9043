#pragma once

#include "fescueledge/controlchange.h"

#include <memory>
#include <string>

namespace fescueledge {

class ControlParser;
struct ControlState;

/// The row `control/current`: the newest accepted content.
struct ControlRow
{
    ControlVersion version = 0;
    ControlContent content;
};

/// Key of the row with the newest accepted content.
constexpr const char *currentControlKey = "control/current";
/// Key of the immutable row with the audit trail entry of @p version.
std::string historyKey(ControlVersion version);

std::string encodeControlRow(const ControlRow &row);
/// Decodes a control row. Throws Error with DigestMismatch if the content does not match the stored digest.
ControlRow decodeControlRow(const std::string &value);

/// Returns the control state that @p row describes. Throws Error with InvalidSettings if @p parser rejects its tables.
std::shared_ptr<const ControlState> parseControl(const ControlParser &parser, const ControlRow &row);

std::string encodeHistoryEntry(const ControlHistoryEntry &entry);
ControlHistoryEntry decodeHistoryEntry(const std::string &value);

} // namespace fescueledge
