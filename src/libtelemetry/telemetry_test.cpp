#include "fescueledge/meteredlog.h"
#include "fescueledge/stdoutlog.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace fescueledge;

namespace {

std::int64_t lineCount(const std::string &text)
{
    return std::count(text.begin(), text.end(), '\n');
}

} // namespace

TEST_CASE("a log line holds the event, keys and values, quoted where needed")
{
    LogLine line("run_start");
    line.with("job", "a1")
        .with("detail", "no room \"here\"")
        .with("run", std::int64_t{2})
        .with("took_ms", Milliseconds(7));
    CHECK(line.text() == "event=run_start job=a1 detail=\"no room 'here'\" run=2 took_ms=7");
    CHECK(line.event() == "run_start");
}

TEST_CASE("a flood of lines to a blocked reader is bounded in memory, does not block, and reports the suppressed lines")
{
    SimWorld world;
    SimLoop loop(&world);
    std::string written;
    bool readerBlocked = true;
    StdoutLog::Limits limits;
    limits.linesPerSecond = 100;
    limits.waitingBytes = 4096;
    StdoutLog log(
        &loop, "n1",
        [] {
            return std::int64_t{5};
        },
        [&](const std::string &text) {
            if (readerBlocked) {
                return std::size_t{0};
            }
            written += text;
            return text.size();
        },
        limits);
    for (int i = 0; i < 10000; ++i) {
        log.write(LogLine("run_start").with("job", std::to_string(i)));
    }
    world.runFor(Milliseconds(500));
    CHECK(written.empty());
    CHECK(log.suppressed() >= 9900);
    readerBlocked = false;
    world.runFor(Milliseconds(1000));
    CHECK(lineCount(written) <= 100);
    log.write(LogLine("run_end"));
    world.runFor(Milliseconds(500));
    CHECK(written.find("event=log_suppressed name=run_start lines=") != std::string::npos);
    CHECK(written.find("event=run_end") != std::string::npos);
}

TEST_CASE("events are counted by outcome and their durations recorded, including events that the log suppresses")
{
    SimWorld world;
    SimLoop loop(&world);
    StdoutLog::Limits limits;
    limits.linesPerSecond = 1;
    StdoutLog out(
        &loop, "n1",
        [] {
            return std::int64_t{5};
        },
        [](const std::string &text) {
            return text.size();
        },
        limits);
    MeteredLog log(&out);
    for (int i = 0; i < 3; ++i) {
        log.write(LogLine("job_submit").with("outcome", "accepted").with("took_ms", Milliseconds(30)));
    }
    log.setGauge("coordinates", 1);
    const std::string page = log.page();
    CHECK(page.find("fescueledge_events_total{event=\"job_submit\",outcome=\"accepted\"} 3") != std::string::npos);
    CHECK(page.find("fescueledge_event_seconds_bucket{event=\"job_submit\",le=\"0.05\"} 3") != std::string::npos);
    CHECK(page.find("fescueledge_coordinates 1") != std::string::npos);
}

// A line that was written in part has to be continued where it was cut, however slowly the other end reads.
TEST_CASE("lines that a slow reader takes in small pieces arrive whole and in order")
{
    SimWorld world;
    SimLoop loop(&world);
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    fcntl(ends[1], F_SETPIPE_SZ, 4096);
    StdoutLog::Limits limits;
    limits.linesPerSecond = 1000000;
    StdoutLog log(
        &loop, "n1",
        [] {
            return std::int64_t{5};
        },
        fileWriter(ends[1]), limits);
    std::string read;
    std::array<char, 777> piece{};
    const auto readPiece = [&] {
        const ssize_t n = ::read(ends[0], piece.data(), piece.size());
        read.append(piece.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        return n > 0;
    };
    int lines = 0;
    for (int round = 0; round < 300; ++round) {
        for (int i = 0; i < 20; ++i) {
            log.write(LogLine("run_start").with("job", std::to_string(lines++)).with("worker", "w1"));
        }
        world.runFor(Milliseconds(20));
        readPiece();
    }
    for (int round = 0; round < 1000; ++round) {
        world.runFor(Milliseconds(100));
        while (readPiece()) { }
    }
    close(ends[0]);
    close(ends[1]);
    std::istringstream in(read);
    std::string line;
    int last = -1;
    int seen = 0;
    while (std::getline(in, line)) {
        if (line.find("event=log_suppressed") != std::string::npos) {
            continue;
        }
        int number = -1;
        CAPTURE(line);
        REQUIRE(std::sscanf(line.c_str(), "ts_ms=5 node=n1 event=run_start job=%d worker=w1", &number) == 1);
        REQUIRE(number > last);
        last = number;
        ++seen;
    }
    CHECK(seen + static_cast<int>(log.suppressed()) == lines);
}
