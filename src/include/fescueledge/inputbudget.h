#pragma once

#include "fescueledge/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace fescueledge {

/// Bounds the bytes that the unfinished messages of all clients of a process occupy together.
///
/// Load: many clients that each stop just short of the end of a large message, and stay. When the budget is used up,
/// the messages that hold most for longest are evicted first, so a message that comes in at once stays whatever others
/// do.
class InputBudget
{
public:
    using MessageId = std::uint64_t;

    /// Messages up to this length are never refused: the bound on connections bounds them.
    static constexpr std::size_t smallMessage = 16384;

    explicit InputBudget(std::size_t bytes);

    /// Registers a message that begins to arrive at @p now. @p evict is called at most once, when it has to be given
    /// up.
    MessageId add(TimePoint now, std::function<void()> evict);
    /// Sets what message @p id holds. Others are evicted if the budget is used up; false if that does not suffice, so
    /// the message is to be refused.
    bool hold(MessageId id, std::size_t bytes, TimePoint now);
    /// The message is complete and being handled: it is not evicted any more.
    void pin(MessageId id);
    void remove(MessageId id);
    /// Sets a handler that is called when most of the budget has been in use and nearly all of it is free again.
    void setReliefHandler(std::function<void()> handler)
    {
        m_relieved = std::move(handler);
    }

    std::size_t held() const
    {
        return m_held;
    }

private:
    struct Message
    {
        std::size_t bytes = 0;
        TimePoint since{};
        bool isPinned = false;
        std::function<void()> evict;
    };
    using Messages = std::map<MessageId, Message>;

    void noteRelief();
    /// The message that holds most for longest, other than @p asking; end() if all others are small or pinned.
    Messages::iterator worst(MessageId asking, TimePoint now);

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::size_t m_mostHeld = 0; ///< Since the last call of the handler.
    std::function<void()> m_relieved;
    MessageId m_nextId = 1;
    Messages m_messages;
};

} // namespace fescueledge
