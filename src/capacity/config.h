#pragma once

#include <chrono>
#include <cstddef>

/// Limits on what remote parties make a process hold.
namespace clementinelane::config {

using namespace std::chrono_literals;

/// Memory of a process whose settings name no limit.
constexpr std::size_t DefaultMemoryLimitBytes = 128U << 20U;
/// Descriptors of a process whose settings name no limit.
constexpr std::size_t DefaultDescriptors = 1024;
/// Part of the memory limit that may be held for remote parties. The rest is
/// for the process itself, for copies while a buffer grows, and for what the
/// allocator keeps.
constexpr double HeldMemoryPart = 0.4;
/// Part of that which one customer's bodies may take, and the part that bodies
/// leave to smaller ones.
constexpr double MaxCustomerPart = 0.5;
constexpr double SmallBodyPart = 0.25;
/// A body leaves as much as this many of its size to smaller ones, up to
/// SmallBodyPart.
constexpr std::size_t SmallBodyFactor = 3;

/// What a connection holds beside its messages, with room for a short head and
/// a short answer.
constexpr std::size_t ConnectionBytes = 12U << 10U;
/// Of these: bytes that are received but not parsed, and an unsent answer.
constexpr std::size_t FreeInputBytes = 4U << 10U;
constexpr std::size_t FreeAnswerBytes = 4U << 10U;
/// What a request in flight holds beside its body.
constexpr std::size_t RequestBytes = 16U << 10U;
/// What a tunnel to an endpoint holds, with its buffers.
constexpr std::size_t TunnelBytes = 24U << 10U;
/// Receive buffer of a caller's socket; the kernel holds up to twice of it.
constexpr std::size_t ReceiveBufferBytes = 16U << 10U;
constexpr std::size_t MaxReceivedBytes = 2 * ReceiveBufferBytes;
/// While a body of at least LargeBodyBytes arrives whose length is charged, so
/// that long paths carry it at full speed.
constexpr std::size_t LargeBodyReceiveBufferBytes = 128U << 10U;
constexpr std::size_t LargeBodyBytes = 2 * LargeBodyReceiveBufferBytes;

/// A body may take this long before its rate counts.
constexpr auto BodyGrace = 15s;
/// Mean rate of a body in bytes a second, from BodyGrace on.
constexpr double MinBodyRate = 4096;
/// Without this much in StallTime a caller gives way when memory is short.
constexpr std::size_t StallBytes = 16U << 10U;
constexpr auto StallTime = 1s;
/// After a search for such callers that found none.
constexpr auto RoomSearchPause = 50ms;

/// Refused bodies that are read and dropped, so that their callers get the
/// answer: at most this many at a time, and this much of each.
constexpr std::size_t MaxDrainedConnections = 64;
constexpr std::size_t MaxDrainedBytes = 4U << 20U;

/// Ports for probes, metrics and peers.
constexpr std::size_t MaxProbeHeadBytes = 4U << 10U;
constexpr std::size_t MaxProbeConnections = 32;
constexpr std::size_t MaxPendingTunnels = 64;
/// Senders of datagrams that the list of routers doesn't name.
constexpr std::size_t MaxUnlistedPeers = 512;

} // namespace clementinelane::config
