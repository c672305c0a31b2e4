#ifndef LIBWIRE_NESTING_GUARD_H_
#define LIBWIRE_NESTING_GUARD_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace auburnfold {

/// A SAX handler that stops the parser at input that is nested more deeply than
/// any control message. The CBOR parser recurses for each level, so such input
/// would exhaust the stack.
class nesting_guard : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  static constexpr int kMaxDepth = 8;

  bool Enter() { return ++depth_ <= kMaxDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
};

}  // namespace auburnfold

#endif  // LIBWIRE_NESTING_GUARD_H_
