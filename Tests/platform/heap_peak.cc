#include "heap_peak.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace corianderplank {
namespace {

std::atomic<std::size_t> allocated_bytes{0};
std::atomic<std::size_t> peak_bytes{0};

}  // namespace

std::size_t RestartHeapPeak() {
  peak_bytes = allocated_bytes.load();
  return peak_bytes;
}

std::size_t HeapPeak() {
  return peak_bytes;
}

}  // namespace corianderplank

void* operator new(std::size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  const std::size_t bytes = malloc_usable_size(block);
  const std::size_t now = corianderplank::allocated_bytes += bytes;
  std::size_t peak = corianderplank::peak_bytes;
  while (now > peak &&
         !corianderplank::peak_bytes.compare_exchange_weak(peak, now)) {
  }
  return block;
}

void operator delete(void* block) noexcept {
  corianderplank::allocated_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}
