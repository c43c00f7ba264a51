#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace clementinelane {

/// What holds bytes for a remote party.
enum class memory_holder : std::uint8_t {
  Connection, ///< a connection, with a short head and a short answer
  Input,      ///< heads, and bytes that are received but not parsed
  Body,       ///< bodies of requests, until no retry needs them
  Request,    ///< requests in flight, beside their bodies
  Answer,     ///< bytes that the remote party hasn't taken
  Tunnel,     ///< tunnels to endpoints for other VMs
  Count
};

std::string_view nameOf(memory_holder Holder);

/// Counts the bytes that a process holds for remote parties and limits them.
/// Does no I/O; may be used from several threads.
///
/// Load: many callers that send large bodies, whole or in part, and stay. Harm
/// prevented: the process passes the memory limit of its VM and ends. Larger
/// bodies leave room to smaller ones, and no customer's bodies take more than a
/// part, so that ordinary callers are served beside such a crowd.
class memory_account {
public:
  /// `Bound`: bytes.
  explicit memory_account(std::size_t Bound) : Bound(Bound) {}

  void setBound(std::size_t Bytes);
  std::size_t bound() const;
  std::size_t held() const;
  std::size_t held(memory_holder Holder) const;
  /// Charges that didn't fit, since the start.
  std::uint64_t refused(memory_holder Holder) const;
  /// Whether hardly anything more fits.
  bool isShort() const;

private:
  friend class memory_charge;
  static constexpr std::size_t Holders =
      static_cast<std::size_t>(memory_holder::Count);

  bool tryChange(memory_holder Holder, std::string_view Customer,
                 std::size_t From, std::size_t To);
  bool fits(memory_holder Holder, std::string_view Customer, std::size_t From,
            std::size_t To) const;
  std::size_t heldFor(std::string_view Customer) const;

  mutable std::mutex Mutex;
  std::size_t Bound;
  std::size_t Held = 0;
  std::array<std::size_t, Holders> ByHolder{};
  std::array<std::uint64_t, Holders> Refused{};
  std::map<std::string, std::size_t, std::less<>> BodiesByCustomer;
};

using memory_account_ptr = std::shared_ptr<memory_account>;

/// The bound of an account for a process with this memory limit in bytes; 0:
/// unknown.
std::size_t heldMemoryBound(std::size_t LimitBytes);

/// Bytes charged to an account until this object is destroyed.
class memory_charge {
public:
  /// Charges nothing, ever.
  memory_charge() = default;
  /// `Customer`: whose body it is; empty: unknown, and not limited to a part.
  memory_charge(memory_account_ptr Account, memory_holder Holder,
                std::string Customer = {})
      : Account(std::move(Account)), Holder(Holder),
        Customer(std::move(Customer)) {}
  ~memory_charge() { release(); }
  memory_charge(memory_charge &&Other) noexcept;
  memory_charge &operator=(memory_charge &&Other) noexcept;
  memory_charge(const memory_charge &) = delete;
  memory_charge &operator=(const memory_charge &) = delete;

  /// Charges `Total` in place of what is charged. Less always fits; false and
  /// unchanged if more doesn't.
  [[nodiscard]] bool tryResize(std::size_t Total);
  void release();
  std::size_t bytes() const { return Bytes; }

private:
  memory_account_ptr Account;
  memory_holder Holder = memory_holder::Connection;
  std::string Customer;
  std::size_t Bytes = 0;
};

} // namespace clementinelane
