#define BOOST_TEST_MODULE hostile_daemons
#include "hostile_callers.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;

namespace {

constexpr std::string_view Ip = "127.66.2.1";
constexpr std::uint16_t EntryPort = 17620;
constexpr std::uint16_t EntryLinkPort = 17621;
constexpr std::uint16_t LinkPort = 17622;
constexpr std::uint16_t OperatorPort = 17623;
constexpr std::size_t Callers = 64;
constexpr std::size_t ManyCallers = 600;
constexpr std::size_t ChunkBytes = 64U << 10U;
constexpr std::size_t EndlessBytes = 16 * Megabyte;
/// Four fifths of the memory that a daemon assumes without a setting.
constexpr std::size_t MaxPeakBytes = 128 * Megabyte * 8 / 10;
/// Half of the descriptors that a daemon assumes without a setting.
constexpr std::size_t MaxDescriptors = 512;

/// The entry and the control daemon of one VM, with the log that they follow.
struct daemons {
  daemons() {
    reservePorts();
    Log = std::make_unique<child_process>(
        "clementine_standin",
        std::vector<std::string>{"--role=log",
                                 "--listen=" + std::string(LogAddress)});
    const std::string Key =
        Folder.write("session.key", "0123456789abcdef0123456789abcdef");
    const std::string At(Ip);
    const std::string File = Folder.write(
        "vm.toml", "[vm]\nname = \"vm-1\"\ndata_centre = \"hall-a\"\nregion = "
                   "\"be-central\"\naddress = \"" +
                       At + "\"\n[entry]\nport = " + std::to_string(EntryPort) +
                       "\nlink_port = " + std::to_string(EntryLinkPort) +
                       "\n[control]\nlink_port = " + std::to_string(LinkPort) +
                       "\noperator_port = " + std::to_string(OperatorPort) +
                       "\nseeds = [\"" + At + ":" + std::to_string(LinkPort) +
                       "\"]\n[platform]\nlog = \"" + std::string(LogAddress) +
                       "\"\n[keys]\nsession = [\"k1:" + Key + "\"]\n");
    Control = std::make_unique<child_process>(
        "clementine_control", std::vector<std::string>{"--config=" + File});
    Entry = std::make_unique<child_process>(
        "clementine_entry", std::vector<std::string>{"--config=" + File});
    BOOST_REQUIRE(isHealthy(EntryPort));
    BOOST_REQUIRE(isHealthy(OperatorPort));
  }

  static bool isHealthy(std::uint16_t Port) {
    return exchangeUntilServed(endpointOf(Ip, Port), getRequest("/healthz"))
        .starts_with("HTTP/1.1 200");
  }

  /// Plays the crowd at a port of `Process`; afterwards, while it stays
  /// connected, both daemons answer.
  static void checkCrowd(child_process &Process, std::uint16_t Port,
                         std::size_t Count, caller_script Script,
                         bool ReadsAnswers = true) {
    crowd Crowd(endpointOf(Ip, Port), Count, std::move(Script), ReadsAnswers);
    process_peak Peak = play(Crowd, Process, Ip);
    BOOST_TEST(Process.isRunning());
    BOOST_TEST(isHealthy(EntryPort));
    BOOST_TEST(isHealthy(OperatorPort));
    Peak.sample(Process, Ip);
    BOOST_TEST(Process.isRunning());
    BOOST_TEST(Peak.Bytes < MaxPeakBytes);
    BOOST_TEST(Peak.Descriptors < MaxDescriptors);
    BOOST_TEST_MESSAGE("peak " << Peak.Bytes / Megabyte << " MB, of these "
                               << Peak.Resident / Megabyte << " resident, "
                               << Peak.Descriptors << " descriptors");
  }

  static constexpr std::string_view LogAddress = "127.66.9.1:17603";
  temporary_folder Folder;
  std::unique_ptr<child_process> Log;
  std::unique_ptr<child_process> Control;
  std::unique_ptr<child_process> Entry;
};

constexpr std::string_view ChatPath = "/v1/chat/completions";

std::string frame(std::size_t Bytes, char Type, char Flags, char Stream) {
  std::string Header;
  for (const unsigned Shift : {16U, 8U, 0U})
    Header += static_cast<char>((Bytes >> Shift) & 0xffU);
  return Header + Type + Flags + std::string(3, '\0') + Stream;
}

/// A call between processes (HTTP/2, RFC 9113) without its end.
caller_script unfinishedCall(std::size_t Bytes) {
  constexpr std::size_t PieceBytes = 16384;
  constexpr char Data = 0;
  constexpr char Headers = 1;
  constexpr char Settings = 4;
  constexpr char EndHeaders = 4;
  // POST, http, / and the authority "a" (RFC 7541).
  const std::string Fields("\x83\x86\x84\x41\x01"
                           "a");
  return {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(0, Settings, 0, 0) +
              frame(Fields.size(), Headers, EndHeaders, 1) + Fields,
          frame(PieceBytes, Data, 0, 1) + std::string(PieceBytes, 'x'),
          Bytes / PieceBytes,
          {}};
}

} // namespace

// Callers send all of a large body but its last bytes, and stay connected.
BOOST_FIXTURE_TEST_CASE(bodies_that_stop_short_at_the_entry, daemons) {
  checkCrowd(*Entry, EntryPort, Callers,
             lengthBody(ChatPath, MaxCallerBodyBytes, 7));
}

// Bodies over the limit, announced by their length.
BOOST_FIXTURE_TEST_CASE(bodies_over_the_limit_at_the_entry, daemons) {
  checkCrowd(*Entry, EntryPort, Callers, lengthBody(ChatPath, EndlessBytes, 7));
}

// Chunks without end.
BOOST_FIXTURE_TEST_CASE(endless_chunks_at_the_entry, daemons) {
  checkCrowd(*Entry, EntryPort, Callers,
             chunkedBody(ChatPath, EndlessBytes, ChunkBytes));
}

// A head without end.
BOOST_FIXTURE_TEST_CASE(endless_heads_at_the_entry, daemons) {
  checkCrowd(*Entry, EntryPort, Callers,
             {"GET /healthz HTTP/1.1\r\nHost: e\r\n",
              "X-Filler: " + std::string(ChunkBytes, 'x') + "\r\n",
              EndlessBytes / ChunkBytes,
              {}});
}

// Connections without a request take all descriptors.
BOOST_FIXTURE_TEST_CASE(idle_connections_at_the_entry, daemons) {
  checkCrowd(*Entry, EntryPort, ManyCallers, {});
}

// Answers that nobody reads.
BOOST_FIXTURE_TEST_CASE(unread_answers_at_the_entry, daemons) {
  checkCrowd(*Entry, EntryPort, 300,
             {{}, "GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n", 400, {}}, false);
}

// Chunks without end at the operator's port.
BOOST_FIXTURE_TEST_CASE(endless_chunks_at_the_operators_port, daemons) {
  checkCrowd(*Control, OperatorPort, Callers,
             chunkedBody("/v1/files", EndlessBytes, ChunkBytes));
}

// Connections without a request at the ports of other VMs.
BOOST_FIXTURE_TEST_CASE(idle_connections_at_the_ports_of_peers, daemons) {
  checkCrowd(*Control, LinkPort, ManyCallers, {});
  checkCrowd(*Entry, EntryLinkPort, ManyCallers, {});
}

// Bytes that are no HTTP/2, without end, at the ports of other VMs.
BOOST_FIXTURE_TEST_CASE(endless_bytes_at_the_ports_of_peers, daemons) {
  const caller_script Script{
      {}, std::string(ChunkBytes, 'x'), EndlessBytes / ChunkBytes, {}};
  checkCrowd(*Control, LinkPort, Callers, Script);
  checkCrowd(*Entry, EntryLinkPort, Callers, Script);
}

// Calls between processes that stop short of their end.
BOOST_FIXTURE_TEST_CASE(unfinished_calls_at_the_ports_of_peers, daemons) {
  const caller_script Script = unfinishedCall(MaxCallerBodyBytes);
  checkCrowd(*Control, LinkPort, Callers, Script);
  checkCrowd(*Entry, EntryLinkPort, Callers, Script);
}
