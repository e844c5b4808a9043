#pragma once

#include "fescueledge/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace fescueledge {

class Loop;

/// Shares out the processor time that a loop spends on the input of clients.
///
/// Load: many clients whose messages cost much to parse, such as bodies in chunks of one byte, or large ones that are
/// rejected in the end. In one pass of the loop, input gets a bounded amount of work; then everything else that is
/// ready has its turn. Among clients, the message that has cost least so far goes first, so an ordinary one waits for
/// at most one turn of each message that has cost no more. Work is counted in units, not in time, so decisions don't
/// depend on the speed of the VM.
class InputTurns : public std::enable_shared_from_this<InputTurns>
{
public:
    /// Identifies who waits for a turn, such as a connection.
    using Owner = const void *;

    /// One unit is about what it costs to parse a byte of a body in chunks of one byte.
    static constexpr std::size_t unitsPerPass = 131072;
    /// Least work of a turn: reading a socket and starting a message.
    static constexpr std::size_t minTurnUnits = 4096;

    /// Turns are given on @p loop, which has to outlive this object.
    explicit InputTurns(Loop *loop);

    /// Asks for a turn for a message of @p owner on which @p spent units have been spent. @p turn is called once, at
    /// once or in a later pass of the loop. An owner waits for one turn at a time.
    void request(Owner owner, std::uint64_t spent, std::function<void()> turn);
    /// Withdraws the request of @p owner, if there is one.
    void cancel(Owner owner);
    bool isWaiting(Owner owner) const
    {
        return m_ranks.count(owner) > 0;
    }
    /// Counts work done in a turn or on its behalf.
    void charge(std::size_t units)
    {
        m_spent += units;
    }

private:
    /// Messages on which least has been spent first, then in the order of their requests.
    using Rank = std::pair<std::uint64_t, std::uint64_t>;
    /// A request that waits.
    struct Waiting
    {
        Owner owner = nullptr;
        std::function<void()> turn;
    };

    void giveTurns();
    void awaitNextPass();

    Loop *m_loop;
    std::map<Rank, Waiting> m_waiting;
    std::map<Owner, Rank> m_ranks;
    std::uint64_t m_requests = 0; ///< Made so far.
    /// In this pass, with what earlier ones have spent beyond their share or while nobody waited.
    std::size_t m_spent = 0;
    bool m_isGiving = false;
    bool m_isPassAwaited = false;
};

} // namespace fescueledge
