#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescueledge {

/// The SHA-256 of @p bytes in lowercase hexadecimal.
std::string sha256Hex(std::string_view bytes);

/// A fast hash of @p bytes for rendezvous hashing; not for security.
std::uint64_t fastHash(std::string_view bytes, std::uint64_t seed = 0);

/// Compares two secrets in constant time for given lengths, to prevent timing attacks.
bool equalSecrets(std::string_view a, std::string_view b);

} // namespace fescueledge
