#include <balsamport/core/memory_budget.h>

#include <algorithm>
#include <utility>

namespace balsamport {

MemoryBudget::MemoryBudget(std::uint64_t limit) noexcept
    : limitBytes(limit)
{ }

bool MemoryBudget::tryReserve(std::uint64_t bytes) noexcept
{
    std::uint64_t used = this->usedBytes;
    do {
        if (this->limitBytes != 0 && used + bytes > this->limitBytes) {
            return false;
        }
    } while (!this->usedBytes.compare_exchange_weak(used, used + bytes));
    return true;
}

void MemoryBudget::reserve(std::uint64_t bytes) noexcept
{
    this->usedBytes += bytes;
}

void MemoryBudget::release(std::uint64_t bytes) noexcept
{
    this->usedBytes -= bytes;
}

bool MemoryBudget::isExceeded() const noexcept
{
    return this->limitBytes != 0 && this->usedBytes > this->limitBytes;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> sharedBudget) noexcept
    : budget(std::move(sharedBudget))
{ }

MemoryReservation::~MemoryReservation()
{
    this->reset();
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : budget(std::move(other.budget))
    , reservedBytes(std::exchange(other.reservedBytes, 0))
{ }

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        this->reset();
        this->budget = std::move(other.budget);
        this->reservedBytes = std::exchange(other.reservedBytes, 0);
    }
    return *this;
}

bool MemoryReservation::tryGrow(std::uint64_t bytes) noexcept
{
    if (this->budget && !this->budget->tryReserve(bytes)) {
        return false;
    }
    this->reservedBytes += bytes;
    return true;
}

void MemoryReservation::grow(std::uint64_t bytes) noexcept
{
    if (this->budget) {
        this->budget->reserve(bytes);
    }
    this->reservedBytes += bytes;
}

void MemoryReservation::shrink(std::uint64_t bytes) noexcept
{
    const std::uint64_t released = std::min(bytes, this->reservedBytes);
    if (this->budget) {
        this->budget->release(released);
    }
    this->reservedBytes -= released;
}

void MemoryReservation::reset() noexcept
{
    this->shrink(this->reservedBytes);
}

} // namespace balsamport
