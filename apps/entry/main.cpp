// The entry daemon: serves callers beside sidecars or, with a [forward] table in its settings, by
// forwarding to the targets itself.
#include <gflags/gflags.h>
#include <malloc.h>

#include "runtime/EntryDaemon.h"
#include "runtime/ForwardDaemon.h"
#include "runtime/ProcessLog.h"

DEFINE_string(config, "", "Path of the TOML settings file.");
DEFINE_bool(check, false, "Validate the settings file and exit.");

namespace {

// The smallest block that the allocator maps by itself, in bytes.
constexpr int kMappedBytes = 64 * 1024;

// Runs an entry that forwards requests to targets itself, without sidecars.
int
RunForwardingEntry(sycamorepost::ProcessLog& aProcessLog)
{
  const auto settings = sycamorepost::LoadSettings<sycamorepost::ForwardSettings>(
    FLAGS_config, sycamorepost::ParseForwardSettings);
  if (!settings) {
    return 2;
  }
  return FLAGS_check ? 0 : sycamorepost::ForwardDaemon(*settings, FLAGS_config, aProcessLog).Run();
}

int
RunEntryWithSidecars()
{
  const auto settings = sycamorepost::LoadSettings<sycamorepost::EntrySettings>(
    FLAGS_config, sycamorepost::ParseEntrySettings);
  if (!settings) {
    return 2;
  }
  return FLAGS_check ? 0 : sycamorepost::EntryDaemon(*settings).Run();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  // Bodies and responses are mapped and returned to the kernel one by one. By default the allocator
  // raises this threshold to the largest block freed, and then keeps freed blocks in its heap.
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  gflags::SetUsageMessage("runs an entry: sycamorepost-entry --config FILE [--check]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sycamorepost::ProcessLog log(aArguments[0]);
  std::string ignored; // LoadSettings() reports an unreadable file.
  const auto text = sycamorepost::ReadFile(FLAGS_config, ignored);
  return text && sycamorepost::IsForwardSettings(*text) ? RunForwardingEntry(log)
                                                        : RunEntryWithSidecars();
}
