/// @file
/// Compression of texts that entries send to each other, with zlib.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace corianderplank {

/// @param text any text.
/// @return the text as a zlib stream.
std::string CompressText(std::string_view text);

/// @param bytes a zlib stream, or arbitrary bytes of another process.
/// @param size size of the text; no more memory than this is used for it.
/// @return the text; std::nullopt if the bytes are no stream of a text of this
///     size.
std::optional<std::string> DecompressText(std::string_view bytes,
                                          std::size_t size);

}  // namespace corianderplank
