#include "bufferbudget.h"

#include <algorithm>
#include <iterator>

namespace Primrosefork {

BufferBudget::Account::Account(BufferBudget& budget, GiveUpHandler giveUp)
    : budget(budget)
    , giveUp(std::move(giveUp))
    , isPinned(!this->giveUp)
{
}

BufferBudget::Account::~Account()
{
    this->budget.candidates.erase({ this->bytes, this });
    this->budget.total -= this->bytes;
    if (this->isPinned)
        this->budget.pinned -= this->bytes;
}

auto BufferBudget::Account::resize(std::size_t newBytes) -> void
{
    if (newBytes == this->bytes || this->isGivenUp)
        return;
    auto& owner = this->budget;
    owner.candidates.erase({ this->bytes, this });
    owner.total = owner.total - this->bytes + newBytes;
    if (this->isPinned)
        owner.pinned = owner.pinned - this->bytes + newBytes;
    owner.peak = std::max(owner.peak, owner.total);
    this->bytes = newBytes;
    if (this->giveUp && newBytes > 0)
        owner.candidates.emplace(newBytes, this);
    owner.enforce();
}

BufferBudget::BufferBudget(std::size_t limit)
    : maximum(limit)
{
}

auto BufferBudget::enforce() -> void
{
    while (this->total > this->maximum && !this->candidates.empty()) {
        const auto largest = std::prev(this->candidates.end());
        auto* account = largest->second;
        this->candidates.erase(largest);
        this->total -= std::exchange(account->bytes, 0);
        account->isGivenUp = true;
        ++this->givenUp;
        // Moved out first, because the handler may destroy the account.
        const auto handler = std::exchange(account->giveUp, {});
        handler();
    }
}

} // namespace Primrosefork
