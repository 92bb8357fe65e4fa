#include "wire/text_compression.h"

#include <new>

#include <zlib.h>

namespace corianderplank {

std::string CompressText(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  // The fastest level: processor time is scarcer than the last few percent.
  const int result = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                               reinterpret_cast<const Bytef*>(text.data()),
                               text.size(), Z_BEST_SPEED);
  if (result != Z_OK) {
    // With room for the worst case, only memory can be missing.
    throw std::bad_alloc();
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> DecompressText(std::string_view bytes,
                                          std::size_t size) {
  std::string text(size, '\0');
  uLongf written = size;
  const int result =
      uncompress(reinterpret_cast<Bytef*>(text.data()), &written,
                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  return result == Z_OK && written == size ? std::optional(std::move(text))
                                           : std::nullopt;
}

}  // namespace corianderplank
