#include "fescueledge/inputbudget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fescueledge {

namespace {

/// Shares of the budget that count as most of it, and as nearly none.
constexpr std::size_t busyDivisor = 2;
constexpr std::size_t idleDivisor = 16;

} // namespace

InputBudget::InputBudget(std::size_t bytes)
    : m_limit(bytes)
{
}

InputBudget::MessageId InputBudget::add(TimePoint now, std::function<void()> evict)
{
    const MessageId id = m_nextId++;
    m_messages.emplace(id, Message{0, now, false, std::move(evict)});
    return id;
}

InputBudget::Messages::iterator InputBudget::worst(MessageId asking, TimePoint now)
{
    auto worst = m_messages.end();
    double most = -1;
    for (auto it = m_messages.begin(); it != m_messages.end(); ++it) {
        const Message &message = it->second;
        if (it->first == asking || message.isPinned || message.bytes <= smallMessage) {
            continue;
        }
        const double score =
            static_cast<double>(message.bytes) * std::chrono::duration<double>(now - message.since).count();
        if (score > most) {
            most = score;
            worst = it;
        }
    }
    return worst;
}

bool InputBudget::hold(MessageId id, std::size_t bytes, TimePoint now)
{
    const auto own = m_messages.find(id);
    if (own == m_messages.end()) {
        return false;
    }
    m_held = m_held - own->second.bytes + bytes;
    own->second.bytes = bytes;
    m_mostHeld = std::max(m_mostHeld, m_held);
    while (m_held > m_limit && bytes > smallMessage) {
        const auto it = worst(id, now);
        if (it == m_messages.end()) {
            return false;
        }
        const std::function<void()> evict = std::move(it->second.evict);
        m_held -= it->second.bytes;
        m_messages.erase(it);
        evict();
    }
    return true;
}

void InputBudget::pin(MessageId id)
{
    const auto it = m_messages.find(id);
    if (it != m_messages.end()) {
        it->second.isPinned = true;
    }
}

void InputBudget::remove(MessageId id)
{
    const auto it = m_messages.find(id);
    if (it != m_messages.end()) {
        m_held -= it->second.bytes;
        m_messages.erase(it);
        noteRelief();
    }
}

void InputBudget::noteRelief()
{
    if (m_relieved && m_mostHeld >= m_limit / busyDivisor && m_held <= m_limit / idleDivisor) {
        m_mostHeld = m_held;
        m_relieved();
    }
}

} // namespace fescueledge
