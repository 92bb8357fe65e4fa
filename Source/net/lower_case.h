/// @file
/// Header names in lower case, since HTTP compares them without case.
#pragma once

#include <string>
#include <string_view>

namespace corianderplank {

/// @param text a header's name.
/// @return it with ASCII letters in lower case.
std::string LowerCase(std::string_view text);

}  // namespace corianderplank
