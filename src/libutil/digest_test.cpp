#include "fescueledge/digest.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

TEST_CASE("sha256Hex matches the published vector for abc")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("equalSecrets is true only for equal secrets")
{
    CHECK(equalSecrets("token", "token"));
    CHECK_FALSE(equalSecrets("token", "tokem"));
    CHECK_FALSE(equalSecrets("token", "token2"));
}
