#include "fescueledge/digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace fescueledge {

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), hash.data());
    const char *digits = "0123456789abcdef";
    std::string out;
    out.reserve(hash.size() * 2);
    for (unsigned char byte : hash) {
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 15U]);
    }
    return out;
}

std::uint64_t fastHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace fescueledge
