/// @file
/// Reads TOML strictly and collects every error with its place.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace corianderplank {

/// One error in a file: where it is, what is there, and what would be accepted.
struct config_error {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string value;
  std::string accepted;
};

/// @param error an error.
/// @return "file:line: key = value: accepted ...".
std::string FormatConfigError(const config_error& error);

/// One table of a file. Every key must be read; the others are errors.
class toml_section {
 public:
  struct node;

  /// @param held the parsed table, owned by the toml_file.
  explicit toml_section(std::shared_ptr<node> held);

  /// @param key a key that must be there.
  /// @return its text, empty after an error.
  std::string Text(const std::string& key);
  /// @param key a key that may be missing.
  /// @param fallback the value when it is.
  /// @return the value; `fallback` if the key is missing; empty after an error.
  std::string TextOr(const std::string& key, const std::string& fallback);
  /// @param key a key that may be missing.
  /// @param fallback the value when it is.
  /// @param lowest the lowest value that is accepted.
  /// @param highest the highest.
  /// @return its value.
  std::int64_t NumberOr(const std::string& key,
                        std::int64_t fallback,
                        std::int64_t lowest,
                        std::int64_t highest);
  /// @param key a key that must be there.
  /// @param lowest the lowest value that is accepted.
  /// @param highest the highest.
  /// @return its value, `lowest` after an error.
  std::int64_t Number(const std::string& key,
                      std::int64_t lowest,
                      std::int64_t highest);
  /// @param key a key that must be there; whole numbers are accepted as well.
  /// @param lowest the lowest value that is accepted.
  /// @param highest the highest.
  /// @return its value, `lowest` after an error.
  double Fraction(const std::string& key, double lowest, double highest);
  /// @param key a key that may be missing.
  /// @param fallback the value when it is.
  /// @param lowest the lowest value that is accepted.
  /// @param highest the highest.
  /// @return its value, `lowest` after an error.
  double FractionOr(const std::string& key,
                    double fallback,
                    double lowest,
                    double highest);
  /// @param key a key that must be there.
  /// @return the endpoint, not valid after an error.
  endpoint Address(const std::string& key);
  /// @param key a key.
  /// @return whether it is there.
  bool Has(const std::string& key) const;
  /// @param key a key that may be missing.
  /// @return its endpoints.
  std::vector<endpoint> Addresses(const std::string& key);
  /// @param key a key that may be missing.
  /// @return its texts.
  std::vector<std::string> Texts(const std::string& key);
  /// @param key a table that may be missing.
  /// @return the table, empty when it is missing.
  toml_section Table(const std::string& key);
  /// @param key an array of tables.
  /// @param required whether at least one is needed.
  /// @return its tables.
  std::vector<toml_section> Tables(const std::string& key, bool required);
  /// Reports an error of a key's value that only the caller can see.
  /// @param key the key.
  /// @param accepted what would be accepted.
  void Reject(const std::string& key, const std::string& accepted);
  /// Reports each key that was not read.
  void Finish();

 private:
  std::shared_ptr<node> node_;
};

/// A parsed file.
class toml_file {
 public:
  /// @param name the file's name, for errors.
  /// @param text its contents.
  toml_file(const std::string& name, const std::string& text);

  /// @return the top table; empty when the text is not TOML.
  toml_section Root();

  /// @return every error so far.
  const std::vector<config_error>& Errors() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderplank
