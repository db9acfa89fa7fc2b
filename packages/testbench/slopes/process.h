#pragma once

#include <cstddef>

#include <sys/types.h>

// Reads resource usage of a process from /proc, and the heap usage of this process.

namespace jasminewood::slopes
{

// Returns the resident memory in bytes; 0 if the process does not exist.
auto residentBytes(pid_t process) -> double;

// Returns the number of threads; 0 if the process does not exist.
auto threadCount(pid_t process) -> double;

// Returns the CPU time of all threads of the process in microseconds, with a resolution of 10 ms.
auto processorMicroseconds(pid_t process) -> double;

// Returns the bytes allocated on the heap of the calling process.
auto heapBytes() -> double;

// Returns the heap memory in bytes that the result of make() occupies.
template <typename Maker>
auto heapBytesOf(const Maker &make) -> double
{
    const auto before = heapBytes();
    const auto result = make();
    return heapBytes() - before;
}

} // namespace jasminewood::slopes
