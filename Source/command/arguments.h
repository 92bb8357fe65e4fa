/// @file
/// Arguments that several commands share.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/document.h"

namespace corianderplank {

/// Reads a document and prints its errors.
/// @param path a file.
/// @return the document, or nothing when it has errors.
std::optional<environment_document> LoadDocument(const std::string& path);

/// @param text IPv4 addresses with commas between them.
/// @return the addresses in host byte order; empty when one is malformed.
std::vector<std::uint32_t> ParseAddresses(const std::string& text);

/// @param text endpoints with commas between them.
/// @return the endpoints; empty when one is malformed.
std::vector<endpoint> ParseEndpoints(const std::string& text);

}  // namespace corianderplank
