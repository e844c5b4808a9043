#pragma once

#include "fescueledge/error.h"
#include "fescueledge/loop.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>

namespace fescueledge {

/// Runs @p start on @p loop and waits, on the calling thread, for the value that it hands to its argument.
/// @throws Error of kind DeadlineExceeded with outcome Unknown after @p timeout, or what @p start throws.
template<typename T>
T awaitOnLoop(Loop *loop, Milliseconds timeout, const std::function<void(std::function<void(const T &)>)> &operation)
{
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    loop->post([promise, operation] {
        try {
            operation([promise](const T &value) {
                promise->set_value(value);
            });
        } catch (const Error &) {
            promise->set_exception(std::current_exception());
        }
    });
    if (future.wait_for(timeout) != std::future_status::ready) {
        throw Error(ErrorKind::DeadlineExceeded, "the node did not answer in time", RunOutcome::Unknown);
    }
    return future.get();
}

/// Runs @p query on @p loop and waits for its value.
template<typename T>
T readOnLoop(Loop *loop, Milliseconds timeout, const std::function<T()> &query)
{
    return awaitOnLoop<T>(loop, timeout, [query](const std::function<void(const T &)> &done) {
        done(query());
    });
}

} // namespace fescueledge
