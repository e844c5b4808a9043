// Keys of client accounts: who is admitted, and for how long after a node has lost touch with the configuration.
#include "fescueledge/account/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::account;

namespace {

constexpr Milliseconds revocationTimeout{5000};

std::map<std::string, AccountPolicy> twoAccounts()
{
    AccountPolicy kaje;
    kaje.name = "kaje";
    kaje.keys = {"kaje-1", "kaje-2"};
    AccountPolicy lemu;
    lemu.name = "lemu";
    lemu.keys = {"lemu-1"};
    return {{kaje.name, kaje}, {lemu.name, lemu}};
}

Admission admissionFor(const std::map<std::string, AccountPolicy> &accounts)
{
    Admission admission(revocationTimeout);
    admission.setAccounts(accounts, !accounts.empty());
    return admission;
}

bool has(const KeyRegister &keys, const std::string &account, KeyProblem problem)
{
    return std::any_of(keys.findings().begin(), keys.findings().end(), [&](const KeyFinding &finding) {
        return finding.account == account && finding.problem == problem;
    });
}

} // namespace

// Guards against jobs of unknown senders: a key that no configuration ever had was accepted with 200.
TEST_CASE("only requests with a known key are admitted to a route that is not public")
{
    const Admission admission = admissionFor(twoAccounts());
    CHECK(admission.decide(false, "kaje-2", {}).outcome == AdmissionOutcome::Admitted);
    CHECK(admission.decide(false, "kaje-2", {}).account == "kaje");
    CHECK(admission.decide(false, "lemu-1", {}).account == "lemu");
    for (const char *key : {"", "kaje", "kaje-1 ", "KAJE-1"}) {
        CHECK(admission.decide(false, key, {}).outcome == AdmissionOutcome::Unauthorised);
    }
}

TEST_CASE("a public route needs no key, and a known one names the account")
{
    const Admission admission = admissionFor(twoAccounts());
    CHECK(admission.decide(true, "", {}).outcome == AdmissionOutcome::Admitted);
    CHECK(admission.decide(true, "", {}).account.empty());
    CHECK(admission.decide(true, "unknown", {}).outcome == AdmissionOutcome::Admitted);
    CHECK(admission.decide(true, "kaje-1", {}).account == "kaje");
}

// Guards against deployments without accounts being asked for keys.
TEST_CASE("without accounts no key is asked for, however old the configuration is")
{
    const Admission admission = admissionFor({});
    CHECK(admission.decide(false, "", std::chrono::hours(1)).outcome == AdmissionOutcome::Admitted);
    CHECK(admission.decide(false, "any", std::chrono::hours(1)).outcome == AdmissionOutcome::Admitted);
}

// Guards against a revoked key that is served by a node that was suspended, cut off, or without the store.
TEST_CASE("no key is admitted once it may have been revoked for longer than the timeout")
{
    const Admission admission = admissionFor(twoAccounts());
    constexpr double slowestClock = 0.98;
    const Duration unsafe = std::chrono::duration_cast<Duration>(Duration(revocationTimeout) * slowestClock);
    for (const Duration age : {unsafe, Duration(revocationTimeout), Duration(std::chrono::hours(1))}) {
        CHECK(admission.decide(false, "kaje-1", age).outcome == AdmissionOutcome::Unconfirmed);
        CHECK(admission.decide(false, "unknown", age).outcome == AdmissionOutcome::Unconfirmed);
        CHECK(admission.decide(false, "", age).outcome == AdmissionOutcome::Unauthorised);
        CHECK(admission.decide(true, "kaje-1", age).account.empty());
        CHECK_FALSE(admission.admitsKeys(age));
    }
    CHECK(admission.decide(false, "kaje-1", Milliseconds(4000)).outcome == AdmissionOutcome::Admitted);
    Admission lenient(std::nullopt);
    lenient.setAccounts(twoAccounts(), true);
    CHECK(lenient.decide(false, "kaje-1", std::chrono::hours(1)).outcome == AdmissionOutcome::Admitted);
}

TEST_CASE("keys come and go with the configuration")
{
    Admission admission = admissionFor(twoAccounts());
    std::map<std::string, AccountPolicy> newer = twoAccounts();
    newer["kaje"].keys = {"kaje-3"};
    admission.setAccounts(newer, true);
    CHECK(admission.decide(false, "kaje-1", {}).outcome == AdmissionOutcome::Unauthorised);
    CHECK(admission.decide(false, "kaje-3", {}).account == "kaje");
}

// Guards against one account's bad keys taking others out of service, or authorising requests for the wrong account.
TEST_CASE("bad keys are reported and leave the others in force")
{
    std::map<std::string, AccountPolicy> accounts = twoAccounts();
    accounts["kaje"].keys = {"kaje-1", "kaje-1", "", std::string(65536, 'k'), "both"};
    accounts["lemu"].keys.push_back("both");
    accounts["none"].name = "none";
    const Admission admission = admissionFor(accounts);
    CHECK(has(admission.keys(), "kaje", KeyProblem::Repeated));
    CHECK(has(admission.keys(), "kaje", KeyProblem::Empty));
    CHECK(has(admission.keys(), "kaje", KeyProblem::TooLong));
    CHECK(has(admission.keys(), "lemu", KeyProblem::Shared));
    CHECK(has(admission.keys(), "none", KeyProblem::NoKeys));
    CHECK(admission.decide(false, "both", {}).outcome == AdmissionOutcome::Unauthorised);
    CHECK(admission.decide(false, std::string(65536, 'k'), {}).outcome == AdmissionOutcome::Unauthorised);
    CHECK(admission.decide(false, "kaje-1", {}).account == "kaje");
    CHECK(admission.decide(false, "lemu-1", {}).account == "lemu");
}
