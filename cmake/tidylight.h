#pragma once

// What clang-tidy reads before sources that use neither Asio nor Beast: their syntax trees are most
// of its time.
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>
