#include "fescueledge/jobspec.h"

#include "fescueledge/error.h"
#include "fescueledge/jobstatus.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace fescueledge;

TEST_CASE("a job spec with few members takes the defaults and keeps its digest through JSON")
{
    const nlohmann::json json = {
        {"customer", "c"}, {"team", "t"}, {"key", "k"}, {"resources", Resources{1000, 512, 0}}};
    const JobSpec spec = json.get<JobSpec>();

    CHECK_NOTHROW(validateJobSpec(spec));
    CHECK(spec.taskCount == 1);
    CHECK(spec.kind == "k");
    const JobSpec copy = nlohmann::json(spec).get<JobSpec>();
    CHECK(jobSpecDigest(copy) == jobSpecDigest(spec));
    JobSpec other = spec;
    other.taskClass = TaskClass::LatencyCritical;
    CHECK(jobSpecDigest(other) != jobSpecDigest(spec));
}

TEST_CASE("invalid job specs are refused with a typed error")
{
    JobSpec spec;
    spec.customer = "c";
    spec.team = "t";
    spec.key = "k";
    spec.resources = Resources{1000, 512, 0};
    CHECK_NOTHROW(validateJobSpec(spec));
    SECTION("no key")
    {
        spec.key.clear();
        CHECK_THROWS_AS(validateJobSpec(spec), Error);
    }
    SECTION("payloads that match no tasks")
    {
        spec.taskCount = 3;
        spec.payloads = {"a", "b"};
        CHECK_THROWS_AS(validateJobSpec(spec), Error);
    }
    SECTION("too many tasks")
    {
        spec.taskCount = maxTasksPerJob + 1;
        CHECK_THROWS_AS(validateJobSpec(spec), Error);
    }
    SECTION("a class that does not exist")
    {
        nlohmann::json json = spec;
        json["class"] = "urgent";
        CHECK_THROWS_AS(json.get<JobSpec>(), Error);
    }
}

TEST_CASE("a job status keeps its counts through JSON and names its state")
{
    JobStatus status;
    status.job = "j";
    status.taskCount = 3;
    status.counts = {1, 2, 0, 0, 0, 0};
    CHECK(status.stateName() == "running");
    const JobStatus copy = nlohmann::json(status).get<JobStatus>();
    CHECK(copy.counts == status.counts);
    status.counts = {0, 0, 2, 0, 1, 0};
    status.ended = true;
    CHECK(status.stateName() == "cancelled");
}
