#include "cli_pvt.h"
#include "cliclock_pvt.h"
#include "commands_pvt.h"
#include "logrecord_pvt.h"

#include "fescueledge/eventlog.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace fescueledge;

namespace {

const std::string job = "5c0e7a21d94b36f8";
const std::string otherJob = "5c0e7a21d94b36f9";
constexpr std::int64_t accepted = 1796394083079; ///< 2026-12-04T14:21:23.079Z

class UnusedClock : public CliClock
{
public:
    TimePoint now() override
    {
        return {};
    }

    void sleepFor(Milliseconds) override
    {
        FAIL("reading logs must not wait");
    }
};

/// A line as a node writes it, @p sinceMs after the acceptance.
std::string line(std::int64_t sinceMs, const std::string &node, const std::string &rest)
{
    return "ts_ms=" + std::to_string(accepted + sinceMs) + " node=" + node + " event=" + rest + "\n";
}

std::string jobLine(std::int64_t sinceMs, const std::string &node, const std::string &event, const std::string &rest)
{
    return line(sinceMs, node, event + " job=" + job + (rest.empty() ? "" : " ") + rest);
}

std::string runFields(const std::string &task, const std::string &number, const std::string &worker)
{
    return "task=" + job + "." + task + " run=" + number + " worker=" + worker;
}

const std::string submitted = jobLine(0, "node-1", "job_submit", "queue=orders catalog=3 outcome=accepted took_ms=7");

/// Runs `explain log` on logs that the tests write to the working directory. Contacting a node fails the test.
struct LogFixture
{
    ~LogFixture()
    {
        for (const std::string &file : files) {
            std::filesystem::remove(file);
        }
    }

    void save(const std::string &text)
    {
        files.push_back("explainlog_test_" + std::to_string(files.size()) + ".log");
        std::ofstream(files.back(), std::ios::binary) << text;
    }

    ExitCode run(const std::vector<std::string> &words)
    {
        out.str("");
        err.str("");
        std::vector<std::string> all{"fescueledge", "explain", "log"};
        all.insert(all.end(), words.begin(), words.end());
        std::vector<char *> argv;
        argv.reserve(all.size() + 1);
        for (std::string &word : all) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        CliEnvironment environment{{}, out, err, clock, [](const std::string &) {
                                       FAIL("reading logs must not contact a node");
                                       return std::unique_ptr<OperatorTransport>();
                                   }};
        return runCli(static_cast<int>(all.size()), argv.data(), environment);
    }

    std::string timelineText()
    {
        std::vector<std::string> words{job};
        words.insert(words.end(), files.begin(), files.end());
        CHECK(run(words) == ExitCode::Ok);
        CHECK(err.str().empty());
        return out.str();
    }

    nlohmann::json timelineJson()
    {
        std::vector<std::string> words{"--json", job};
        words.insert(words.end(), files.begin(), files.end());
        CHECK(run(words) == ExitCode::Ok);
        return nlohmann::json::parse(out.str());
    }

    nlohmann::json summary()
    {
        return timelineJson().at("summary");
    }

    std::vector<std::string> files;
    std::ostringstream out;
    std::ostringstream err;
    UnusedClock clock;
};

/// A job under two coordinators: the first is killed while a task runs, and the second queries the worker about it.
void saveTakeover(LogFixture &fixture)
{
    fixture.save(submitted
                 + jobLine(5, "node-1", "run_start", runFields("0.0.0", "1", "w003") + " term=1 outcome=done took_ms=2")
                 + jobLine(300, "node-1", "run_end", runFields("0.0.0", "1", "w003") + " how=done"));
    fixture.save(
        line(-9000, "node-2", "takeover_tried term=1 from=node-0 silent_ms=700")
        + line(900, "node-2", "takeover_tried term=2 from=node-1 silent_ms=800")
        + line(905, "node-2", "term_begun term=2") + line(920, "node-2", "jobs_loaded term=2 jobs=4")
        + line(930, "node-2", "worker_silent worker=w003 outcome=no-answer runs=1")
        + line(930, "node-2", "worker_silent worker=w009 outcome=no-answer runs=0")
        + jobLine(940, "node-2", "run_end", runFields("0.0.0", "1", "w003") + " how=done")
        + jobLine(1950, "node-2", "step_waits", "outcome=earlier_runs_unknown fits=4")
        + jobLine(4000, "node-2", "step_waits", "outcome=room room=6")
        + jobLine(4300, "node-2", "run_start", runFields("0.1.0", "1001", "w004") + " term=2 outcome=done took_ms=1")
        + jobLine(4700, "node-2", "run_end", runFields("0.1.0", "1001", "w004") + " how=done")
        + jobLine(4710, "node-2", "job_end", "queue=orders outcome=complete late=1 took_ms=4718")
        + line(60000, "node-2", "term_ended term=2 reason=superseded"));
}

} // namespace

TEST_CASE_METHOD(LogFixture, "explain log prints the timeline of a job sorted by time across nodes")
{
    save(jobLine(12, "node-2", "run_start", ::runFields("0.0.0", "1", "w003") + " term=1 outcome=done took_ms=2")
         + jobLine(340, "node-2", "run_end", ::runFields("0.0.0", "1", "w003") + " how=done")
         + jobLine(351, "node-2", "job_end", "queue=orders outcome=complete late=0 took_ms=358"));
    save(submitted + line(3, "node-1", "job_submit job=" + otherJob + " queue=orders outcome=accepted"));
    CHECK(timelineText()
          == "+0.000 s     node-1      job_submit queue=orders catalog=3 outcome=accepted took_ms=7\n"
             "+0.012 s     node-2      run_start task=0.0.0 run=1 worker=w003 term=1 outcome=done took_ms=2\n"
             "+0.340 s     node-2      run_end task=0.0.0 run=1 worker=w003 how=done\n"
             "+0.351 s     node-2      job_end queue=orders outcome=complete late=0 took_ms=358\n"
             "\n"
             "job 5c0e7a21d94b36f8\n"
             "accepted: 2026-12-04T14:21:23.079Z by node-1, queue orders\n"
             "first start: +0.012 s\n"
             "longest time with nothing running: 0.012 s, from +0.000 s to +0.012 s\n"
             "  step_waits said: nothing\n"
             "  around it: none\n"
             "longest time without news of it: 0.328 s, from +0.012 s to +0.340 s\n"
             "  step_waits said: nothing\n"
             "  around it: none\n"
             "runs: done 1\n"
             "end: complete, +0.351 s, seen by node-2, which counts 0.358 s since it was accepted\n"
             "suppressed lines meanwhile: none\n"
             "unreadable lines: 0\n");
}

TEST_CASE_METHOD(LogFixture, "explain log shows the context of a gap caused by a takeover")
{
    saveTakeover(*this);
    const std::string text = timelineText();
    CHECK(text.find("+0.900 s     node-2    | takeover_tried term=2 from=node-1 silent_ms=800\n") != std::string::npos);
    CHECK(text.find("| jobs_loaded term=2 jobs=4") != std::string::npos);
    CHECK(text.find("worker_silent worker=w003") != std::string::npos);
    CHECK(text.find("w009") == std::string::npos); // The job did not use it.
    CHECK(text.find("term=1 from") == std::string::npos); // Long before the job.
    CHECK(text.find("term_ended") == std::string::npos); // Long after it.
    CHECK(text.find("longest time with nothing running: 4.000 s, from +0.300 s to +4.300 s\n"
                    "  step_waits said: earlier_runs_unknown 1, room 1\n"
                    "  around it: jobs_loaded 1, takeover_tried 1, term_begun 1, worker_silent 1\n"
                    "longest time without news of it: 3.360 s, from +0.940 s to +4.300 s\n"
                    "  step_waits said: earlier_runs_unknown 1, room 1\n"
                    "  around it: none\n"
                    "runs: done 2\n"
                    "end: complete, late, +4.710 s, seen by node-2, which counts 4.718 s since it was accepted\n")
          != std::string::npos);
}

TEST_CASE_METHOD(LogFixture, "explain log counts the lines suppressed around the time of the job")
{
    save(submitted + line(900, "node-1", "log_suppressed name=run_start lines=40")
         + line(900, "node-1", "log_suppressed name=run_end lines=2")
         + jobLine(1000, "node-1", "job_end", "outcome=complete late=0 took_ms=1000")
         + line(1900, "node-1", "log_suppressed name=run_start lines=3"));
    // A node that logs nothing else for a long time: the lines may have been suppressed while the job ran.
    save(line(500, "node-2", "coordinator_known node=node-1 term=1")
         + line(90000, "node-2", "log_suppressed name=step_waits lines=5")
         + line(90000, "node-2", "coordinator_known node=node-2 term=2")
         + line(91000, "node-2", "log_suppressed name=step_waits lines=7"));
    // Lines suppressed before the job.
    save(line(-60000, "node-3", "log_suppressed name=run_start lines=1000"));
    CHECK(summary().at("suppressed") == nlohmann::json({{"run_end", 2}, {"run_start", 43}, {"step_waits", 5}}));
    CHECK(timelineText().find(
              "suppressed lines meanwhile: run_end 2, run_start 43, step_waits 5; some may be missing above\n")
          != std::string::npos);
}

TEST_CASE_METHOD(LogFixture, "explain log skips and counts damaged lines")
{
    const std::string end = jobLine(90, "node-1", "job_end", "outcome=complete late=0 took_ms=97");
    const std::vector<std::string> damaged{
        "no line of a log",
        "event=job_end job=" + job,
        "ts_ms=12x node=node-1 event=job_end job=" + job,
        "ts_ms=-5 node=node-1 event=job_end job=" + job,
        "ts_ms=99999999999999999999 node=node-1 event=job_end job=" + job,
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=",
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + " outcome",
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + " reason=\"cut",
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + " outcome=fai" + submitted,
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + " " + submitted,
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + "  outcome=failed",
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + " a=\033[2J",
        std::string("\0\0\0\0", 4),
        "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job
            + " a=" + std::string(100000, 'x'),
    };
    std::string text = submitted + "\n";
    for (const std::string &it : damaged) {
        text += it.back() == '\n' ? it : it + "\n";
    }
    // The last line has no line end, as its writer was killed; a number in it may be truncated.
    save(text + end + "ts_ms=" + std::to_string(accepted) + " node=node-1 event=job_end job=" + job + " took_ms=9");
    const nlohmann::json answer = timelineJson();
    CHECK(answer.at("unreadable_lines") == damaged.size() + 1);
    CHECK(answer.at("lines").size() == 2);
    CHECK(answer.at("summary").at("took_ms") == 97);
    CHECK(timelineText().find("unreadable lines: 15\n") != std::string::npos);
}

TEST_CASE_METHOD(LogFixture, "explain log prints non-ASCII bytes as question marks")
{
    save(submitted + line(1, "node-1", "term_ended term=1 reason=\"gr\xfc\xdf\""));
    CHECK(timelineText().find("reason=gr??") != std::string::npos);
    CHECK(timelineJson().at("lines").size() == 2);
}

TEST_CASE_METHOD(LogFixture, "explain log fails with not-found if no line names the job")
{
    save(submitted + "damaged\n");
    CHECK(run({otherJob, files[0]}) == ExitCode::Refused);
    CHECK(err.str() == "fescueledge: not-found: no line names job 5c0e7a21d94b36f9; unreadable lines: 1\n");
    CHECK(out.str().empty());
    save("");
    CHECK(run({"--json", job, files[1]}) == ExitCode::Refused);
    CHECK(err.str() == "fescueledge: not-found: no line names job 5c0e7a21d94b36f8\n");
    CHECK(out.str().empty());
}

TEST_CASE_METHOD(LogFixture,
                 "explain log reports unreadable files, duplicate files and malformed job ids as usage errors")
{
    save(submitted);
    CHECK(run({job, files[0], "explainlog_test_missing.log"}) == ExitCode::Usage);
    CHECK(err.str() == "fescueledge: invalid-argument: can't read explainlog_test_missing.log\n");
    CHECK(run({job, "."}) == ExitCode::Usage);
    CHECK(run({job, files[0], files[0]}) == ExitCode::Usage);
    CHECK(err.str() == "fescueledge: invalid-argument: a log is named twice\n");
    for (const std::string &id : {std::string("5c0e7a21d94b36f"), job + "0", std::string("5c0e7a21d94b36fg")}) {
        CHECK(run({id, files[0]}) == ExitCode::Usage);
        CHECK(err.str().find("invalid-argument") != std::string::npos);
    }
    CHECK(run({job}) == ExitCode::Usage);
    CHECK(out.str().empty());
}

TEST_CASE_METHOD(LogFixture, "explain log counts runs once, by how they ended")
{
    save(submitted + jobLine(10, "node-1", "run_start", ::runFields("0.0.0", "1", "w1") + " outcome=done")
         + jobLine(10, "node-1", "run_start", ::runFields("0.0.1", "1", "w2") + " outcome=no-answer")
         + jobLine(10, "node-1", "run_start", ::runFields("0.0.2", "1", "w3") + " outcome=no-answer")
         + jobLine(10, "node-1", "run_start", ::runFields("0.0.3", "1", "w4") + " outcome=done")
         + jobLine(10, "node-1", "run_start", ::runFields("0.0.4", "1", "w5") + " outcome=no-room")
         + jobLine(20, "node-1", "run_lost", ::runFields("0.0.0", "1", "w1") + " reason=lease")
         + jobLine(20, "node-1", "run_missing", ::runFields("0.0.3", "1", "w4"))
         + jobLine(30, "node-1", "run_start", ::runFields("0.0.0", "2", "w2") + " outcome=done")
         + jobLine(40, "node-1", "run_end", ::runFields("0.0.1", "1", "w2") + " how=failed")
         + jobLine(40, "node-2", "run_end", ::runFields("0.0.1", "1", "w2") + " how=failed")
         + jobLine(50, "node-1", "run_end", ::runFields("0.0.5", "1", "w2") + " how=done")
         + jobLine(60, "node-1", "run_end", ::runFields("0.0.0", "1", "w1") + " how=lapsed"));
    const nlohmann::json all = summary();
    CHECK(all.at("runs") == nlohmann::json({{"done", 1}, {"failed", 1}, {"lapsed", 1}, {"missing", 1}, {"open", 1}}));
    CHECK(all.at("not_started") == nlohmann::json({{"no-answer", 1}, {"no-room", 1}}));
    CHECK(all.at("starts_unseen") == 1);
    const std::string text = timelineText();
    CHECK(text.find("orders that started nothing known: no-answer 1, no-room 1\n") != std::string::npos);
    CHECK(text.find("runs whose start is not in these logs: 1;") != std::string::npos);
}

TEST_CASE_METHOD(LogFixture, "explain log follows a job without an end up to the last line of all logs")
{
    save(submitted);
    save(line(7000, "node-2", "term_begun term=2") + line(9000, "node-2", "catalog_in_force version=3"));
    const std::string text = timelineText();
    CHECK(text.find("+7.000 s     node-2    | term_begun term=2\n") != std::string::npos);
    CHECK(text.find("first start: none in these logs\n"
                    "longest time with nothing running: 9.000 s, from +0.000 s to +9.000 s\n")
          != std::string::npos);
    CHECK(text.find("end: not in these logs, which go on to +9.000 s\n") != std::string::npos);
    CHECK(summary().at("ended_ts_ms").is_null());
}

TEST_CASE_METHOD(LogFixture, "explain log treats a cancelled job as ended")
{
    save(submitted + jobLine(50, "node-1", "job_cancel", "outcome=accepted")
         + jobLine(52, "node-2", "job_cancelled", ""));
    save(line(60000, "node-3", "term_begun term=9"));
    const std::string text = timelineText();
    CHECK(text.find("end: cancelled, +0.052 s, seen by node-2\n") != std::string::npos);
    CHECK(text.find("term_begun") == std::string::npos);
}

TEST_CASE_METHOD(LogFixture, "explain log says so if the acceptance is not in the logs")
{
    save(jobLine(-20, "node-3", "job_submit", "queue=orders outcome=unknown took_ms=500")
         + jobLine(0, "node-1", "job_submit", "queue=orders outcome=known took_ms=1"));
    const std::string text = timelineText();
    CHECK(
        text.find("accepted: not in these logs (job_submit said: known 1, unknown 1); times count from its first line, "
                  "2026-12-04T14:21:23.059Z\n")
        != std::string::npos);
    CHECK(text.find("+0.020 s     node-1      job_submit") != std::string::npos);
}

// A store that answers late lets the coordinator start the job before its acceptance is logged.
TEST_CASE_METHOD(LogFixture, "explain log counts runs before the logged acceptance as active time")
{
    save(jobLine(-500, "node-2", "run_start", ::runFields("0.0.0", "1", "w1") + " outcome=done")
         + jobLine(-100, "node-2", "run_end", ::runFields("0.0.0", "1", "w1") + " how=done") + submitted
         + jobLine(10, "node-2", "job_end", "outcome=complete late=0 took_ms=520"));
    const std::string text = timelineText();
    CHECK(text.find("first start: -0.500 s\n"
                    "longest time with nothing running: 0.110 s, from -0.100 s to +0.010 s\n")
          != std::string::npos);
}

// A run counts as active until its end is logged, so a takeover during the run is not idle time.
TEST_CASE_METHOD(LogFixture, "explain log shows a takeover during a run as silence, not as idle time")
{
    save(submitted + jobLine(7, "node-1", "run_start", ::runFields("0.0.0", "1", "w1") + " outcome=done")
         + jobLine(8, "node-1", "run_start", ::runFields("0.0.1", "1", "w2") + " outcome=done")
         + jobLine(20, "node-1", "run_end", ::runFields("0.0.1", "1", "w2") + " how=done"));
    save(line(700, "node-2", "term_begun term=2")
         + jobLine(732, "node-2", "run_end", ::runFields("0.0.0", "1", "w1") + " how=done")
         + jobLine(740, "node-2", "job_end", "outcome=complete late=0 took_ms=740"));
    const nlohmann::json all = summary();
    CHECK(all.at("longest_idle").at("ms") == 8);
    CHECK(all.at("longest_silence").at("ms") == 712);
    CHECK(all.at("longest_silence").at("from_ts_ms") == accepted + 20);
    CHECK(all.at("longest_silence").at("around") == nlohmann::json({{"term_begun", 1}}));
}

TEST_CASE_METHOD(LogFixture, "explain log merges equal context lines")
{
    save(submitted + line(5, "node-1", "store_lost call=write status=0")
         + line(6, "node-1", "store_lost call=write status=0") + line(9, "node-1", "store_lost call=write status=0")
         + line(9, "node-1", "store_lost call=watch status=0"));
    CHECK(timelineText().find("+0.005 s     node-1    | store_lost call=write status=0 (3 times until +0.009 s)\n"
                              "+0.009 s     node-1    | store_lost call=watch status=0\n")
          != std::string::npos);
    CHECK(timelineJson().at("lines").size() == 5);
}

TEST_CASE_METHOD(LogFixture, "explain log limits the lines it keeps and counts the others")
{
    constexpr int many = 40000;
    std::string text = submitted;
    for (int i = 0; i < many; ++i) {
        text += jobLine(i, "node-1", "run_pace",
                        ::runFields("0.0.0", "1", "w1") + " percent=50 detail=" + std::string(200, 'x'));
    }
    save(text);
    const nlohmann::json answer = timelineJson();
    const std::uint64_t leftOut = answer.at("left_out_lines");
    CHECK(leftOut > 0);
    CHECK(answer.at("lines").size() + leftOut == many + 1);
    CHECK(timelineText().find("lines left out, as the story is too long: " + std::to_string(leftOut))
          != std::string::npos);
}

TEST_CASE("parsing a log line restores its fields")
{
    LogLine written("term_ended");
    written.with("job", job).with("reason", "no \"room\" = here").with("empty", "").with("took_ms", Milliseconds(7));
    const std::optional<LogRecord> read = parseLogLine("ts_ms=5 node=east-1 " + written.text());
    REQUIRE(read);
    CHECK(read->time == LogTime(Milliseconds(5)));
    CHECK(read->node == "east-1");
    CHECK(read->event == "term_ended");
    CHECK(read->value("job") == job);
    CHECK(read->value("reason") == "no 'room' = here");
    CHECK(read->value("empty").empty());
    CHECK(read->number("took_ms") == 7);
    CHECK_FALSE(read->number("reason"));
    CHECK(read->fields.size() == 4);
}
