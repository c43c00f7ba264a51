#include "logs.h"

#include <cpprest/json.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace clementinelane::logs {

namespace {

struct log_setup {
  log4cplus::Initializer Initializer;
  std::string Program;
  std::string Vm;
  bool Json = false;
};

log_setup &setup() {
  static log_setup Setup;
  return Setup;
}

std::string quoted(const std::string &Value) {
  if (Value.find_first_of(" \"=\n") == std::string::npos && !Value.empty())
    return Value;
  return web::json::value::string(Value).serialize();
}

std::string formatKeyValue(std::string_view Event,
                           std::initializer_list<field> Fields) {
  std::string Line = "event=" + std::string(Event) +
                     " program=" + setup().Program + " vm=" + setup().Vm;
  for (const auto &[Key, Value] : Fields)
    Line += " " + std::string(Key) + "=" + quoted(Value);
  return Line;
}

std::string formatJson(std::string_view Event,
                       std::initializer_list<field> Fields) {
  auto Line = web::json::value::object();
  Line["event"] = web::json::value::string(std::string(Event));
  Line["program"] = web::json::value::string(setup().Program);
  Line["vm"] = web::json::value::string(setup().Vm);
  for (const auto &[Key, Value] : Fields)
    Line[std::string(Key)] = web::json::value::string(Value);
  return Line.serialize();
}

void write(log4cplus::LogLevel Level, const char *Name, std::string_view Event,
           std::initializer_list<field> Fields) {
  auto Logger = log4cplus::Logger::getInstance(Name);
  if (!Logger.isEnabledFor(Level))
    return;
  Logger.log(Level, setup().Json ? formatJson(Event, Fields)
                                 : formatKeyValue(Event, Fields));
}

} // namespace

void init(std::string_view Program, std::string_view Vm,
          std::string_view Format) {
  log_setup &Setup = setup();
  Setup.Program = Program;
  Setup.Vm = Vm;
  Setup.Json = Format == "json";
  // Lines go to standard error; standard output belongs to answers.
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  const char *Pattern =
      Setup.Json ? "%m%n" : "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  auto Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
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
