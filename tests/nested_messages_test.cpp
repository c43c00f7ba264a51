#define BOOST_TEST_MODULE nested_messages
#include "configuration_intake.h"
#include "endpoint_pauses.h"
#include "lease.h"
#include "part_quarantine.h"
#include "peer_loads.h"
#include "peers.h"
#include "read_relay.h"
#include "rejection_guard.h"
#include "request_quarantine.h"
#include "return_exchange.h"
#include "rollout_codec.h"
#include "run_registry.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;

namespace {

void decodeAll(std::string_view Bytes) {
  decodeConfigurationQuery(Bytes);
  decodeConfigurationReply(Bytes);
  decodeCrashNotes(Bytes);
  decodeDigest(Bytes);
  decodePartNotes(Bytes);
  decodePause(Bytes);
  decodeRejections(Bytes);
  decodeRelayQuery(Bytes);
  decodeRelayReply(Bytes, mono_time{});
  decodeReport(Bytes);
  decodeReturns(Bytes);
  decodeRunMessage(Bytes);
  static_cast<void>(decodeLease(Bytes));
  static_cast<void>(decodePeers(Bytes));
}

} // namespace

// Failure: another writer leaves a record in a topic of the routers that is
// nested so deeply that the process runs out of stack.
BOOST_AUTO_TEST_CASE(deeply_nested_records_are_no_messages) {
  constexpr std::size_t RecordBytes = 1'000'000;
  const std::string Arrays(RecordBytes, '\x91');
  std::string Maps;
  while (Maps.size() < RecordBytes)
    Maps += "\x81\xa1k"; // a map with the key "k"
  decodeAll(Arrays);
  decodeAll(Maps);
  decodeAll(Arrays + '\xc0');
  decodeAll(Maps + '\xc0');
  BOOST_TEST(!decodeReport(Arrays + '\xc0').has_value());
  BOOST_TEST(!decodeDigest(Maps + '\xc0').has_value());
}

// Failure: a record announces more elements than memory can hold.
BOOST_AUTO_TEST_CASE(announced_sizes_reserve_nothing) {
  for (const char *Head : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
                           "\xc6\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"})
    decodeAll(Head);
  BOOST_TEST(!decodeReport("\xdd\xff\xff\xff\xff").has_value());
}
