#include "daemon.h"
#include "entry.h"

int main(int ArgCount, char **Args) {
  namespace cl = clementinelane;
  return cl::runDaemon(
      ArgCount, Args,
      {"clementine_entry", [](const cl::settings &Settings,
                              const std::function<void()> &WaitForStop) {
         const cl::system_runtime_clock Clock;
         cl::entry Entry(Settings, Clock);
         Entry.open();
         WaitForStop();
         Entry.drain(cl::isStopRequestedAgain);
       }});
}
