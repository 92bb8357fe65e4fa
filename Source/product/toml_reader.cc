#include "product/toml_reader.h"

#include <optional>
#include <set>
#include <sstream>

#include <toml++/toml.h>

namespace corianderplank {

struct toml_file::state {
  std::string name;
  toml::table root;
  std::vector<config_error> errors;
};

struct toml_section::node {
  std::string file;
  const toml::table* table = nullptr;
  std::vector<config_error>* errors = nullptr;
  std::string path;
  std::uint32_t line = 1;
  std::set<std::string> read;
  std::shared_ptr<void> owner;

  const toml::node* Take(const std::string& key) {
    read.insert(key);
    return table == nullptr ? nullptr : table->get(key);
  }

  static std::string ValueText(const toml::node& value) {
    std::ostringstream out;
    value.visit([&](const auto& concrete) { out << concrete; });
    return out.str();
  }

  void Error(const std::string& key,
             const toml::node* value,
             const std::string& accepted) {
    config_error error;
    error.file = file;
    error.line = value == nullptr ? line : value->source().begin.line;
    error.key = path + key;
    error.value = value == nullptr ? "(missing)" : ValueText(*value);
    error.accepted = accepted;
    errors->push_back(error);
  }

  std::shared_ptr<node> Child(const toml::table* child,
                              const std::string& child_path) const {
    auto made = std::make_shared<node>();
    made->file = file;
    made->table = child;
    made->errors = errors;
    made->path = child_path + ".";
    made->line = child == nullptr ? line : child->source().begin.line;
    made->owner = owner;
    return made;
  }
};

std::string FormatConfigError(const config_error& error) {
  return error.file + ":" + std::to_string(error.line) + ": " + error.key +
         " = " + error.value + ": accepted is " + error.accepted;
}

toml_section::toml_section(std::shared_ptr<node> held)
    : node_(std::move(held)) {}

std::string toml_section::Text(const std::string& key) {
  const toml::node* value = node_->Take(key);
  const auto text =
      value == nullptr ? std::nullopt : value->value_exact<std::string>();
  if (!text || text->empty()) {
    node_->Error(key, value, "a text of at least one character");
    return {};
  }
  return *text;
}

std::string toml_section::TextOr(const std::string& key,
                                 const std::string& fallback) {
  const toml::node* value = node_->Take(key);
  return value == nullptr ? fallback : Text(key);
}

std::int64_t toml_section::Number(const std::string& key,
                                  std::int64_t lowest,
                                  std::int64_t highest) {
  const toml::node* value = node_->Take(key);
  const auto number =
      value == nullptr ? std::nullopt : value->value_exact<std::int64_t>();
  if (!number || *number < lowest || *number > highest) {
    node_->Error(key, value,
                 "a whole number from " + std::to_string(lowest) + " to " +
                     std::to_string(highest));
    return lowest;
  }
  return *number;
}

std::int64_t toml_section::NumberOr(const std::string& key,
                                    std::int64_t fallback,
                                    std::int64_t lowest,
                                    std::int64_t highest) {
  const toml::node* value = node_->Take(key);
  return value == nullptr ? fallback : Number(key, lowest, highest);
}

double toml_section::Fraction(const std::string& key,
                              double lowest,
                              double highest) {
  const toml::node* value = node_->Take(key);
  const auto number = value == nullptr ? std::nullopt : value->value<double>();
  // TOML has NaN, which compares as neither lower nor higher.
  if (!number || !(*number >= lowest && *number <= highest)) {
    std::ostringstream accepted;
    accepted << "a number from " << lowest << " to " << highest;
    node_->Error(key, value, accepted.str());
    return lowest;
  }
  return *number;
}

double toml_section::FractionOr(const std::string& key,
                                double fallback,
                                double lowest,
                                double highest) {
  const toml::node* value = node_->Take(key);
  return value == nullptr ? fallback : Fraction(key, lowest, highest);
}

endpoint toml_section::Address(const std::string& key) {
  const toml::node* value = node_->Take(key);
  const auto text =
      value == nullptr ? std::nullopt : value->value_exact<std::string>();
  const endpoint parsed = text ? ParseEndpoint(*text) : endpoint{};
  if (!parsed.IsValid()) {
    node_->Error(key, value, "an IPv4 address and port, \"127.0.0.1:7000\"");
  }
  return parsed;
}

bool toml_section::Has(const std::string& key) const {
  return node_->table != nullptr && node_->table->contains(key);
}

std::vector<endpoint> toml_section::Addresses(const std::string& key) {
  std::vector<endpoint> result;
  const toml::node* value = node_->Take(key);
  if (value == nullptr) {
    return result;
  }
  const toml::array* array = value->as_array();
  if (array == nullptr) {
    node_->Error(key, value, "a list of addresses");
    return result;
  }
  for (const toml::node& item : *array) {
    const endpoint parsed = ParseEndpoint(item.value_or(std::string_view()));
    if (!parsed.IsValid()) {
      node_->Error(key, &item, "an IPv4 address and port, \"127.0.0.1:7000\"");
    }
    result.push_back(parsed);
  }
  return result;
}

std::vector<std::string> toml_section::Texts(const std::string& key) {
  std::vector<std::string> result;
  const toml::node* value = node_->Take(key);
  if (value == nullptr) {
    return result;
  }
  const toml::array* array = value->as_array();
  if (array == nullptr ||
      (!array->empty() && !array->is_homogeneous<std::string>())) {
    node_->Error(key, value, "a list of texts");
    return result;
  }
  for (const toml::node& item : *array) {
    result.push_back(item.value_or(std::string()));
  }
  return result;
}

toml_section toml_section::Table(const std::string& key) {
  const toml::node* value = node_->Take(key);
  const toml::table* table = value == nullptr ? nullptr : value->as_table();
  if (value != nullptr && table == nullptr) {
    node_->Error(key, value, "a table");
  }
  return toml_section(node_->Child(table, node_->path + key));
}

std::vector<toml_section> toml_section::Tables(const std::string& key,
                                               bool required) {
  std::vector<toml_section> result;
  const toml::node* value = node_->Take(key);
  const toml::array* array = value == nullptr ? nullptr : value->as_array();
  const bool empty = array == nullptr || array->empty();
  if ((required && empty) || (value != nullptr && array == nullptr)) {
    node_->Error(key, value, "at least one [[" + node_->path + key + "]]");
    return result;
  }
  for (std::size_t index = 0; array != nullptr && index < array->size();
       ++index) {
    const toml::table* table = array->get(index)->as_table();
    if (table == nullptr) {
      node_->Error(key, array->get(index), "a table");
      continue;
    }
    result.emplace_back(node_->Child(
        table, node_->path + key + "[" + std::to_string(index) + "]"));
  }
  return result;
}

void toml_section::Reject(const std::string& key, const std::string& accepted) {
  node_->Error(key, node_->Take(key), accepted);
}

void toml_section::Finish() {
  if (node_->table == nullptr) {
    return;
  }
  for (const auto& [key, value] : *node_->table) {
    if (!node_->read.contains(std::string(key.str()))) {
      std::string accepted = "one of the keys";
      for (const std::string& known : node_->read) {
        accepted += " " + known;
      }
      node_->Error(std::string(key.str()), &value, accepted);
    }
  }
}

toml_file::toml_file(const std::string& name, const std::string& text)
    : state_(std::make_shared<state>()) {
  state_->name = name;
  try {
    state_->root = toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    state_->errors.push_back({name, error.source().begin.line, "(syntax)",
                              std::string(error.description()),
                              "a TOML document"});
  }
}

toml_section toml_file::Root() {
  auto root = std::make_shared<toml_section::node>();
  root->file = state_->name;
  root->table = &state_->root;
  root->errors = &state_->errors;
  root->owner = state_;
  return toml_section(root);
}

const std::vector<config_error>& toml_file::Errors() const {
  return state_->errors;
}

}  // namespace corianderplank
