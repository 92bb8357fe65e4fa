/// @file
/// Reads environment documents and instance lists from text.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/document.h"
#include "product/toml_reader.h"

namespace corianderplank {

/// A document, or the reasons why there is none.
struct parsed_document {
  environment_document document;
  std::vector<config_error> errors;
};

/// @param file the file's name, for errors.
/// @param text the TOML text.
/// @param revision the platform's revision, 0 when it comes from a file.
/// @return the document; it may be used only when there are no errors.
parsed_document ParseDocument(const std::string& file,
                              const std::string& text,
                              revision_number revision);

/// @param text the platform's JSON.
/// @return the list, or nothing when the text is malformed.
std::optional<instance_list> ParseInstances(const std::string& text);

}  // namespace corianderplank
