// Runs one case of the third review: case-3 CASE ENTRY_PROGRAM RECORD FOLDER
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
#include "World.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sys/resource.h>
#include <unistd.h>

namespace {

struct Case
{
  const char* name;
  void (*run)(const review::Arguments&);
};

constexpr Case kCases[] = {
  { "late-read", review::RunLateReadCase },
  { "smuggle", review::RunSmuggleCase },
};

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  // The kernel ends the entries with this process.
  alarm(115);
  if (aCount != 5 || access(aArguments[2], X_OK) != 0) {
    review::GiveUp("usage: case-3 CASE ENTRY_PROGRAM RECORD FOLDER; the programs must be built");
  }
  review::Arguments arguments;
  arguments.program = aArguments[2];
  arguments.recordPath = aArguments[3];
  const char* trouble = std::getenv("TROUBLE");
  arguments.hasTrouble = !trouble || std::strcmp(trouble, "0") != 0;
  arguments.directory = aArguments[4];
  for (const Case& known : kCases) {
    if (std::strcmp(known.name, aArguments[1]) == 0) {
      known.run(arguments);
    }
  }
  review::GiveUp("unknown case");
}
