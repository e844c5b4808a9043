#include "fescueledge/testing/historychecker.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace fescueledge {

namespace {

/// Linearizability search of Wing and Gong: applies next any operation invoked before the first return among the
/// remaining operations, and backtracks when the rest cannot be ordered. Visited states are not searched again.
class LinearizationSearch
{
public:
    explicit LinearizationSearch(const std::vector<RegisterOperation> &history)
        : m_history(history)
        , m_linearized(history.size(), false)
    {
    }

    bool run()
    {
        return search(State());
    }

private:
    struct State
    {
        std::uint64_t version = 0;
        std::string value;

        bool operator<(const State &other) const
        {
            return std::tie(version, value) < std::tie(other.version, other.value);
        }
    };

    bool isUnknown(std::size_t i) const
    {
        return m_history[i].outcome == RegisterOperation::Outcome::Unknown;
    }

    bool isComplete() const
    {
        for (std::size_t i = 0; i < m_history.size(); ++i) {
            if (!m_linearized[i] && !isUnknown(i)) {
                return false;
            }
        }
        return true;
    }

    /// Returns the earliest return among the operations that are not linearized yet.
    TimePoint firstReturn() const
    {
        TimePoint first = TimePoint::max();
        for (std::size_t i = 0; i < m_history.size(); ++i) {
            if (!m_linearized[i] && !isUnknown(i)) {
                first = std::min(first, m_history[i].returned);
            }
        }
        return first;
    }

    /// Returns the state after @p operation, or std::nullopt if its result does not match @p state.
    static std::optional<State> apply(const RegisterOperation &operation, const State &state)
    {
        const bool isCurrent = operation.version == state.version;
        if (operation.kind == RegisterOperation::Kind::Read) {
            const bool fits = isCurrent && operation.value == state.value;
            return fits ? std::optional<State>(state) : std::nullopt;
        }
        if (operation.outcome == RegisterOperation::Outcome::Refused) {
            return isCurrent ? std::nullopt : std::optional<State>(state);
        }
        return isCurrent ? std::optional<State>(State{state.version + 1, operation.value}) : std::nullopt;
    }

    bool search(const State &state)
    {
        if (isComplete()) {
            return true;
        }
        if (!m_visited.emplace(m_linearized, state).second) {
            return false;
        }
        const TimePoint limit = firstReturn();
        for (std::size_t i = 0; i < m_history.size(); ++i) {
            const bool isUnknownRead = isUnknown(i) && m_history[i].kind == RegisterOperation::Kind::Read;
            if (m_linearized[i] || isUnknownRead || m_history[i].invoked > limit) {
                continue;
            }
            const std::optional<State> next = apply(m_history[i], state);
            if (!next.has_value()) {
                continue;
            }
            m_linearized[i] = true;
            const bool found = search(*next);
            m_linearized[i] = false;
            if (found) {
                return true;
            }
        }
        return false;
    }

    const std::vector<RegisterOperation> &m_history;
    std::vector<bool> m_linearized;
    std::set<std::pair<std::vector<bool>, State>> m_visited;
};

struct TaskHistory
{
    bool accepted = false;
    int finishes = 0;
    std::set<Attempt> running;
};

std::optional<std::string> applyFinishEvent(const FinishEvent &event, TaskHistory *task)
{
    switch (event.kind) {
    case FinishEvent::Kind::Accepted:
        task->accepted = true;
        return std::nullopt;
    case FinishEvent::Kind::Started:
        task->running.insert(event.attempt);
        if (task->running.size() > 1) {
            return "two attempts run at the same time: task " + event.task;
        }
        return std::nullopt;
    case FinishEvent::Kind::Stopped:
        task->running.erase(event.attempt);
        return std::nullopt;
    case FinishEvent::Kind::Finished:
        task->running.erase(event.attempt);
        ++task->finishes;
        if (task->finishes > 1) {
            return "a second finish of task " + event.task;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> checkLinearizable(const std::vector<RegisterOperation> &history)
{
    if (LinearizationSearch(history).run()) {
        return std::nullopt;
    }
    return "no linearization of the " + std::to_string(history.size()) + " operations matches their results";
}

std::optional<std::string> checkAtMostOnce(const std::vector<OrderEvent> &history)
{
    std::map<std::string, int> runs;
    for (const OrderEvent &event : history) {
        if (event.kind == OrderEvent::Kind::Ran && ++runs[event.key] > 1) {
            return "order " + event.key + " ran twice";
        }
    }
    for (const OrderEvent &event : history) {
        if (event.kind != OrderEvent::Kind::Answered) {
            continue;
        }
        const bool ran = runs.count(event.key) != 0;
        if (ran && event.outcome == RunOutcome::NotRun) {
            return "order " + event.key + " ran and was answered as not run";
        }
        if (!ran && event.outcome == RunOutcome::Ran) {
            return "order " + event.key + " did not run and was answered as run";
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkExactlyOnce(const std::vector<FinishEvent> &history)
{
    std::map<TaskId, TaskHistory> tasks;
    for (const FinishEvent &event : history) {
        std::optional<std::string> violation = applyFinishEvent(event, &tasks[event.task]);
        if (violation.has_value()) {
            return violation;
        }
    }
    for (const auto &[task, state] : tasks) {
        if (state.accepted && state.finishes == 0) {
            return "task " + task + " was accepted and did not finish";
        }
    }
    return std::nullopt;
}

} // namespace fescueledge
