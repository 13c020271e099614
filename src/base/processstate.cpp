#include "base/processstate.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/resource.h>
#include <system_error>
#include <unistd.h>

namespace lavenderhall {

namespace {

constexpr const char *DescriptorFolder = "/proc/self/fd";
constexpr const char *MemoryFile = "/proc/self/statm"; ///< total and resident pages, then others

std::uint64_t countDescriptors()
{
    std::error_code failure;
    const std::filesystem::directory_iterator folder(DescriptorFolder, failure);
    if (failure)
        return 0;
    const auto entries = std::distance(begin(folder), end(folder));
    return static_cast<std::uint64_t>(entries) - 1; // without the descriptor of the folder itself
}

std::uint64_t readResidentBytes()
{
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    std::ifstream file(MemoryFile);
    if (!(file >> totalPages >> residentPages))
        return 0;
    return residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t softLimit(__rlimit_resource resource)
{
    rlimit limit{};
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return 0;
    return limit.rlim_cur;
}

} // namespace

ProcessState readProcessState()
{
    ProcessState state;
    state.openDescriptors = countDescriptors();
    state.maxDescriptors = softLimit(RLIMIT_NOFILE);
    state.residentBytes = readResidentBytes();
    state.maxAddressBytes = softLimit(RLIMIT_AS);
    return state;
}

} // namespace lavenderhall
