#pragma once

#include <cstddef>

#include <sys/types.h>

// What /proc tells of a process, and the heap in use of this one.

namespace jasminewood::slopes
{

// Returns the resident memory in bytes; 0 if the process does not exist.
auto residentBytes(pid_t process) -> double;

// Returns the number of threads; 0 if the process does not exist.
auto threadCount(pid_t process) -> double;

// Returns the processor time of the whole process in microseconds, in steps of 10 ms.
auto processorMicroseconds(pid_t process) -> double;

// Returns the bytes allocated on the heap of the calling process.
auto heapBytes() -> double;

// Returns by how much the heap grows while the maker's result lives.
template <typename Maker>
auto heapBytesOf(const Maker &make) -> double
{
    const auto before = heapBytes();
    const auto made = make();
    return heapBytes() - before;
}

} // namespace jasminewood::slopes
