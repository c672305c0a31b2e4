#include "auburnfold-load/plan_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <sstream>

#include "auburnfold-load/load_plan.h"

namespace auburnfold {

plan_reader::plan_reader(const boost::json::value& value, std::string path)
    : object_(value.if_object()), path_(std::move(path)) {
  if (object_ == nullptr) {
    throw plan_error(path_ + ": is not an object");
  }
}

void plan_reader::Fail(const std::string& name,
                       const std::string& reason) const {
  throw plan_error(path_ + ": " + name + ": " + reason);
}

const boost::json::value* plan_reader::Find(const char* name) {
  known_.insert(name);
  return object_->if_contains(name);
}

const boost::json::array* plan_reader::FindList(const char* name) {
  const boost::json::value* found = Find(name);
  if (found == nullptr) {
    return nullptr;
  }
  if (!found->is_array()) {
    Fail(name, "is not a list");
  }
  return &found->get_array();
}

double plan_reader::Number(const char* name,
                           double fallback,
                           double low,
                           double high) {
  const boost::json::value* found = Find(name);
  const double number = found == nullptr     ? fallback
                        : found->is_number() ? found->to_number<double>()
                                             : low - 1;
  if (number < low || number > high) {
    std::ostringstream reason;
    reason << "is not a number from " << low << " to " << high;
    Fail(name, reason.str());
  }
  return number;
}

bool plan_reader::Flag(const char* name, bool fallback) {
  const boost::json::value* found = Find(name);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_bool()) {
    Fail(name, "is not true or false");
  }
  return found->get_bool();
}

std::string plan_reader::Text(const char* name, const std::string& fallback) {
  const boost::json::value* found = Find(name);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_string() || found->get_string().empty()) {
    Fail(name, "is not a text of at least one character");
  }
  return std::string(found->get_string());
}

std::vector<std::string> plan_reader::Texts(const char* name) {
  std::vector<std::string> texts;
  const boost::json::array* list = FindList(name);
  if (list == nullptr) {
    return texts;
  }
  for (const boost::json::value& each : *list) {
    if (!each.is_string()) {
      Fail(name, "is not a list of texts");
    }
    texts.emplace_back(each.get_string());
  }
  return texts;
}

std::vector<http_address> plan_reader::Addresses(const char* name) {
  std::vector<http_address> addresses;
  for (const std::string& text : Texts(name)) {
    const std::optional<http_address> address = ParseHttpAddress(text);
    if (!address) {
      Fail(name, text + " is not HOST:PORT");
    }
    addresses.push_back(*address);
  }
  return addresses;
}

void plan_reader::Object(const char* name, const visit& read) {
  const boost::json::value* found = Find(name);
  if (found == nullptr) {
    return;
  }
  plan_reader inner(*found, path_ + ": " + name);
  read(inner);
  inner.RefuseOthers();
}

void plan_reader::Objects(const char* name, const visit& read) {
  const boost::json::array* list = FindList(name);
  if (list == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    plan_reader inner((*list)[i],
                      path_ + ": " + name + "[" + std::to_string(i) + "]");
    read(inner);
    inner.RefuseOthers();
  }
}

void plan_reader::RefuseOthers() const {
  for (const auto& member : *object_) {
    const std::string name(member.key());
    if (!known_.contains(name)) {
      Fail(name, "unknown key");
    }
  }
}

}  // namespace auburnfold
