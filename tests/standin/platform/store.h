#pragma once

#include "caller_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace clementinelane::standin {

/// A fault that the store applies to all later calls.
enum class store_fault { None, Busy, Silent, Reset, LoseAnswers };

/// Simulates the part of the platform's store that the router uses, with faults
/// to switch on. Besides the platform's calls it accepts, for tests and the
/// demo:
///   POST /standin/put?topic=T&key=K     the body as K's newest record
///   GET  /standin/newest?topic=T&key=K  that record
///   POST /standin/fault?name=NAME       none, busy, silent, reset,
///                                       lose_answers
///   POST /standin/compact?topic=T       drops the history
///   POST /standin/copy                  keeps a copy of all topics
///   POST /standin/restore               goes back to it, in the next era
///   POST /standin/item?topic=T&key=K    the body as an item of T's listing
///   POST /standin/pages?size=N          items of a page of a listing
///   GET  /standin/listings              number of listing calls
class platform_store {
public:
  platform_store(boost::asio::io_context &Context, std::string_view Address);

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Topic, const std::string &Key);
  void compact(const std::string &Topic);
  /// Keeps a copy of all topics.
  void keepCopy() { Copy = Topics; }
  /// Goes back to the copy: later records are lost, and their offsets are given
  /// out again. Pending reads are cut off.
  void restoreCopy();
  std::uint64_t era() const { return Era; }
  void setFault(store_fault Value) { Fault = Value; }
  /// Items of a page of the newest records.
  void setPageSize(std::size_t Value) { PageSize = Value; }
  /// Lists `Text` as it stands among the items of a topic, at the place of
  /// `Key`.
  void listItem(const std::string &Topic, const std::string &Key,
                const std::string &Text) {
    Topics[Topic].Items[Key] = Text;
  }
  /// Adds a record to the log of a topic whose bytes, with the length before
  /// them, are `Bytes`.
  void addBytes(const std::string &Topic, std::string Bytes);
  /// Answers calls whose target holds `Part` with `Body` while it is set.
  void setAnswer(const std::string &Part, const std::string &Body) {
    Answers[Part] = Body;
  }
  void clearAnswers() { Answers.clear(); }
  /// Listing calls so far.
  unsigned listings() const { return Listings; }
  /// Calls that read records so far.
  unsigned reads() const { return Reads; }
  /// Returns the newest value of a key.
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key) const;

private:
  using exchange_ptr = std::shared_ptr<caller_exchange>;
  struct topic {
    std::uint64_t First = 0;
    std::deque<std::string> Records; ///< including length prefixes
    std::map<std::string, std::pair<std::string, std::uint64_t>> Newest;
    std::map<std::string, std::string> Items; ///< as they are listed, by place
    std::uint64_t end() const { return First + Records.size(); }
  };
  struct waiting {
    exchange_ptr Exchange;
    std::string Topic;
    std::uint64_t From;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };

  void answer(caller_exchange &Exchange, unsigned Status,
              std::vector<http_field> Fields, std::string_view Body) const;
  void answerJson(caller_exchange &Exchange, unsigned Status,
                  std::string_view Json) const;
  void handleRequest(const exchange_ptr &Exchange);
  bool isFaulty(const exchange_ptr &Exchange);
  bool handleControl(const exchange_ptr &Exchange);
  bool answerAsSet(caller_exchange &Exchange) const;
  void append(const exchange_ptr &Exchange);
  void read(const exchange_ptr &Exchange);
  void answerRead(caller_exchange &Exchange, const topic &Topic,
                  std::uint64_t From);
  void listNewest(const exchange_ptr &Exchange);
  void add(const std::string &Name, std::string Record);
  void wake(const std::string &Name);

  boost::asio::io_context &Context;
  std::map<std::string, topic> Topics;
  std::map<std::string, topic> Copy;
  std::uint64_t Era = 1; ///< rises with each restored copy
  std::list<waiting> Waiting;
  std::vector<exchange_ptr> Unanswered;
  store_fault Fault = store_fault::None;
  std::size_t PageSize = 500;
  std::map<std::string, std::string> Answers; ///< by a part of the target
  unsigned Listings = 0;
  unsigned Reads = 0;
  caller_server Server;
};

} // namespace clementinelane::standin
