#include "capacity/memory_account.h"

#include "capacity/config.h"

#include <algorithm>
#include <utility>

namespace clementinelane {

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(memory_holder::Count)>
    HolderNames{"connection", "input", "body", "request", "answer", "tunnel"};

std::size_t partOf(std::size_t Bytes, double Part) {
  return static_cast<std::size_t>(static_cast<double>(Bytes) * Part);
}

std::size_t indexOf(memory_holder Holder) {
  return static_cast<std::size_t>(Holder);
}

} // namespace

std::string_view nameOf(memory_holder Holder) {
  return HolderNames[indexOf(Holder)];
}

std::size_t heldMemoryBound(std::size_t LimitBytes) {
  return partOf(LimitBytes > 0 ? LimitBytes : config::DefaultMemoryLimitBytes,
                config::HeldMemoryPart);
}

void memory_account::setBound(std::size_t Bytes) {
  const std::scoped_lock Lock(Mutex);
  Bound = Bytes;
}

std::size_t memory_account::bound() const {
  const std::scoped_lock Lock(Mutex);
  return Bound;
}

std::size_t memory_account::held() const {
  const std::scoped_lock Lock(Mutex);
  return Held;
}

std::size_t memory_account::held(memory_holder Holder) const {
  const std::scoped_lock Lock(Mutex);
  return ByHolder[indexOf(Holder)];
}

std::uint64_t memory_account::refused(memory_holder Holder) const {
  const std::scoped_lock Lock(Mutex);
  return Refused[indexOf(Holder)];
}

bool memory_account::isShort() const {
  const std::scoped_lock Lock(Mutex);
  return Held + config::ConnectionBytes + config::RequestBytes > Bound;
}

std::size_t memory_account::heldFor(std::string_view Customer) const {
  const auto Found = BodiesByCustomer.find(Customer);
  return Found == BodiesByCustomer.end() ? 0 : Found->second;
}

bool memory_account::fits(memory_holder Holder, std::string_view Customer,
                          std::size_t From, std::size_t To) const {
  const std::size_t More = To - From;
  if (Held + More > Bound)
    return false;
  if (Holder != memory_holder::Body)
    return true;
  const std::size_t LeftToSmaller = std::min(
      config::SmallBodyFactor * To, partOf(Bound, config::SmallBodyPart));
  if (Held + More + LeftToSmaller > Bound)
    return false;
  return Customer.empty() ||
         heldFor(Customer) + More <= partOf(Bound, config::MaxCustomerPart);
}

bool memory_account::tryChange(memory_holder Holder, std::string_view Customer,
                               std::size_t From, std::size_t To) {
  const std::scoped_lock Lock(Mutex);
  if (To > From && !fits(Holder, Customer, From, To)) {
    ++Refused[indexOf(Holder)];
    return false;
  }
  Held = Held - From + To;
  ByHolder[indexOf(Holder)] += To;
  ByHolder[indexOf(Holder)] -= From;
  if (Holder != memory_holder::Body || Customer.empty())
    return true;
  auto Entry = BodiesByCustomer.find(Customer);
  if (Entry == BodiesByCustomer.end())
    Entry = BodiesByCustomer.emplace(std::string(Customer), 0).first;
  Entry->second = Entry->second + To - From;
  if (Entry->second == 0)
    BodiesByCustomer.erase(Entry);
  return true;
}

memory_charge::memory_charge(memory_charge &&Other) noexcept
    : Account(std::move(Other.Account)), Holder(Other.Holder),
      Customer(std::move(Other.Customer)),
      Bytes(std::exchange(Other.Bytes, 0)) {}

memory_charge &memory_charge::operator=(memory_charge &&Other) noexcept {
  if (this == &Other)
    return *this;
  release();
  Account = std::move(Other.Account);
  Holder = Other.Holder;
  Customer = std::move(Other.Customer);
  Bytes = std::exchange(Other.Bytes, 0);
  return *this;
}

bool memory_charge::tryResize(std::size_t Total) {
  if (!Account || Total == Bytes)
    return true;
  if (!Account->tryChange(Holder, Customer, Bytes, Total))
    return false;
  Bytes = Total;
  return true;
}

// Less always fits.
void memory_charge::release() { static_cast<void>(tryResize(0)); }

} // namespace clementinelane
