#pragma once

#include "fescueledge/error.h"
#include "fescueledge/loop.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>

namespace fescueledge {

/// Starts the asynchronous @p operation on @p loop and blocks the calling thread until it passes its result to the
/// callback.
/// @throws Error of kind DeadlineExceeded with outcome Unknown after @p timeout, or the Error that @p operation throws.
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

/// Runs the synchronous @p query on @p loop and blocks the calling thread until it returns its value.
template<typename T>
T readOnLoop(Loop *loop, Milliseconds timeout, const std::function<T()> &query)
{
    return awaitOnLoop<T>(loop, timeout, [query](const std::function<void(const T &)> &done) {
        done(query());
    });
}

} // namespace fescueledge
