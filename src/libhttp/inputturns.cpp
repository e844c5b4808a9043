#include "fescueledge/inputturns.h"

#include "fescueledge/loop.h"

#include <algorithm>

namespace fescueledge {

InputTurns::InputTurns(Loop *loop)
    : m_loop(loop)
{
}

void InputTurns::request(Owner owner, std::uint64_t spent, std::function<void()> turn)
{
    const Rank rank{spent, m_requests++};
    m_waiting.emplace(rank, Waiting{owner, std::move(turn)});
    m_ranks.emplace(owner, rank);
    giveTurns();
}

void InputTurns::cancel(Owner owner)
{
    const auto it = m_ranks.find(owner);
    if (it != m_ranks.end()) {
        m_waiting.erase(it->second);
        m_ranks.erase(it);
    }
}

void InputTurns::giveTurns()
{
    if (m_isGiving) {
        return; // A turn asks for the next one.
    }
    m_isGiving = true;
    while (!m_waiting.empty() && m_spent < unitsPerPass) {
        const auto it = m_waiting.begin();
        const std::function<void()> turn = std::move(it->second.turn);
        m_ranks.erase(it->second.owner);
        m_waiting.erase(it);
        m_spent += minTurnUnits;
        turn();
    }
    m_isGiving = false;
    awaitNextPass();
}

void InputTurns::awaitNextPass()
{
    // Passes are not counted while nobody waits: ordinary requests would pay for a pass each.
    if (m_isPassAwaited || (m_waiting.empty() && m_spent < unitsPerPass)) {
        return;
    }
    m_isPassAwaited = true;
    m_loop->post([weak = weak_from_this()] {
        const std::shared_ptr<InputTurns> self = weak.lock();
        if (self) {
            self->m_isPassAwaited = false;
            self->m_spent -= std::min(self->m_spent, unitsPerPass);
            self->giveTurns();
        }
    });
}

} // namespace fescueledge
