#include "logs.h"

#include "log_queue.h"

#include <chrono>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace clementinelane::logs {

namespace {

using json = nlohmann::ordered_json;

/// Formats log events and adds them to the log queue.
class queue_appender final : public log4cplus::Appender {
public:
  explicit queue_appender(log_queue &Queue) : Queue(Queue) {}
  ~queue_appender() override { destructorImpl(); }
  queue_appender(const queue_appender &) = delete;
  queue_appender &operator=(const queue_appender &) = delete;
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    Queue.add(Line.str(), Event.getLoggerName() != "decision");
  }

private:
  log_queue &Queue;
};

struct log_setup {
  std::unique_ptr<log_queue> Queue; // declared first: must outlive the loggers
  log4cplus::Initializer Initializer;
  std::string Program;
  std::string Vm;
  bool Json = false;
};

log_setup &setup() {
  static log_setup Setup;
  return Setup;
}

/// Serializes `Value` as JSON; invalid UTF-8 is replaced.
std::string jsonText(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string quoted(const std::string &Value) {
  if (Value.find_first_of(" \"=\n") == std::string::npos && !Value.empty())
    return Value;
  return jsonText(Value);
}

std::string formatKeyValue(std::string_view Event,
                           std::initializer_list<field> Fields) {
  std::string Line = "event=" + std::string(Event) +
                     " program=" + setup().Program + " vm=" + setup().Vm;
  for (const auto &[Key, Value] : Fields) {
    Line += ' ';
    Line += Key;
    Line += '=';
    Line += quoted(Value);
  }
  return Line;
}

std::string formatJson(std::string_view Level, std::string_view Event,
                       std::initializer_list<field> Fields) {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  json Line{{"time_ms", Now.count()},
            {"level", Level},
            {"event", Event},
            {"program", setup().Program},
            {"vm", setup().Vm}};
  for (const auto &[Key, Value] : Fields)
    Line[std::string(Key)] = Value;
  return jsonText(Line);
}

void write(log4cplus::LogLevel Level, const char *Name, std::string_view Event,
           std::initializer_list<field> Fields) {
  auto Logger = log4cplus::Logger::getInstance(Name);
  if (!Logger.isEnabledFor(Level))
    return;
  const bool IsWarning = Level >= log4cplus::WARN_LOG_LEVEL;
  Logger.log(Level, setup().Json ? formatJson(IsWarning ? "warning" : "info",
                                              Event, Fields)
                                 : formatKeyValue(Event, Fields));
}

} // namespace

void init(std::string_view Program, std::string_view Vm,
          std::string_view Format, sink Sink) {
  log_setup &Setup = setup();
  Setup.Program = Program;
  Setup.Vm = Vm;
  Setup.Json = Format == "json";
  Setup.Queue = std::make_unique<log_queue>(
      Sink == sink::StandardOutput ? STDOUT_FILENO : STDERR_FILENO);
  log4cplus::SharedAppenderPtr Appender(new queue_appender(*Setup.Queue));
  const char *Pattern =
      Setup.Json ? "%m%n" : "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  auto Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

std::uint64_t dropped() {
  const log_setup &Setup = setup();
  return Setup.Queue ? Setup.Queue->dropped() : 0;
}

void decision(std::string_view Event, std::initializer_list<field> Fields) {
  write(log4cplus::INFO_LOG_LEVEL, "decision", Event, Fields);
}

void info(std::string_view Event, std::initializer_list<field> Fields) {
  write(log4cplus::INFO_LOG_LEVEL, "daemon", Event, Fields);
}

void warning(std::string_view Event, std::initializer_list<field> Fields) {
  write(log4cplus::WARN_LOG_LEVEL, "daemon", Event, Fields);
}

} // namespace clementinelane::logs
