// Sends HTTP GET requests at a fixed rate to several addresses and prints the latency of each address, to compare calls
// through the daemon with direct calls to an endpoint in one run. With rate 0, each thread sends its next request as
// soon as it has the last response.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <httplib.h>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/// Options of a load run.
struct LoadPlan
{
    std::vector<std::string> addresses;
    std::string path = "/preview";
    int threads = 4; ///< Per address.
    int rate = 100; ///< Requests per second and address; 0 means as fast as possible.
    int seconds = 5;
};

/// Results of one thread for one address.
struct LoadResult
{
    std::vector<double> milliseconds;
    int failed = 0;
};

void sendRequests(const LoadPlan &plan, const std::string &address, int thread, LoadResult *result)
{
    httplib::Client client("http://" + address);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    const Clock::time_point start = Clock::now();
    const Clock::time_point end = start + std::chrono::seconds(plan.seconds);
    const std::chrono::duration<double> sendInterval(plan.rate > 0 ? static_cast<double>(plan.threads) / plan.rate
                                                                   : 0.0);
    for (int i = 0; Clock::now() < end; ++i) {
        if (plan.rate > 0) {
            const std::chrono::duration<double> offset =
                sendInterval * (i + static_cast<double>(thread) / plan.threads);
            std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(offset));
        }
        const Clock::time_point sent = Clock::now();
        const httplib::Result answer = client.Get(plan.path);
        const std::chrono::duration<double, std::milli> took = Clock::now() - sent;
        if (answer && answer->status == 200) {
            result->milliseconds.push_back(took.count());
        } else {
            ++result->failed;
        }
    }
}

double quantile(const std::vector<double> &sorted, double q)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

void print(const LoadPlan &plan, const std::string &address, std::vector<LoadResult> *results)
{
    std::vector<double> all;
    int failed = 0;
    for (const LoadResult &result : *results) {
        all.insert(all.end(), result.milliseconds.begin(), result.milliseconds.end());
        failed += result.failed;
    }
    std::sort(all.begin(), all.end());
    std::printf("%s answered=%zu failed=%d rate=%.0f/s p50=%.3f ms p99=%.3f ms p99.9=%.3f ms\n", address.c_str(),
                all.size(), failed, static_cast<double>(all.size()) / plan.seconds, quantile(all, 0.5),
                quantile(all, 0.99), quantile(all, 0.999));
}

void readArguments(int argc, char **argv, LoadPlan *plan)
{
    const option options[] = {{"to", required_argument, nullptr, 'a'},      {"path", required_argument, nullptr, 'p'},
                              {"threads", required_argument, nullptr, 't'}, {"rate", required_argument, nullptr, 'r'},
                              {"seconds", required_argument, nullptr, 's'}, {nullptr, 0, nullptr, 0}};
    int which = 0;
    while ((which = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (which == 'a') {
            plan->addresses.emplace_back(optarg);
        } else if (which == 'p') {
            plan->path = optarg;
        } else if (which == 't') {
            plan->threads = std::atoi(optarg);
        } else if (which == 'r') {
            plan->rate = std::atoi(optarg);
        } else if (which == 's') {
            plan->seconds = std::atoi(optarg);
        } else {
            std::fprintf(stderr,
                         "usage: %s --to ip:port [--to ip:port ...] [--path P] [--threads N] [--rate R] "
                         "[--seconds S]\n",
                         argv[0]);
            std::exit(2);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    LoadPlan plan;
    readArguments(argc, argv, &plan);
    const std::size_t perAddress = static_cast<std::size_t>(plan.threads);
    std::vector<std::vector<LoadResult>> results(plan.addresses.size(), std::vector<LoadResult>(perAddress));
    std::vector<std::thread> threads;
    threads.reserve(plan.addresses.size() * perAddress);
    for (std::size_t i = 0; i < plan.addresses.size(); ++i) {
        for (int thread = 0; thread < plan.threads; ++thread) {
            LoadResult *result = &results[i][static_cast<std::size_t>(thread)];
            threads.emplace_back([&plan, &address = plan.addresses[i], thread, result] {
                sendRequests(plan, address, thread, result);
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (std::size_t i = 0; i < plan.addresses.size(); ++i) {
        print(plan, plan.addresses[i], &results[i]);
    }
    return 0;
}
