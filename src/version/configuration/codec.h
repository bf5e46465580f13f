#pragma once

#include <boost/json/object.hpp>

#include "base/enumtable.h"
#include "base/jsonreader.h"
#include "version/configuration/configuration.h"

//! The JSON form of configuration objects, shared by the log, declaration files and exports.
namespace nutmegplank::version::configuration {

//! The kind of object that a change or a declaration concerns.
enum class ObjectKind {
    Workspace,
    Key,
    Service,
    Route,
    Zone,
    Preset,
    PresetInForce,
};

constexpr auto OBJECT_KIND_NAMES = base::EnumTable<ObjectKind, 7> { {
    { ObjectKind::Workspace, "workspace" },
    { ObjectKind::Key, "key" },
    { ObjectKind::Service, "service" },
    { ObjectKind::Route, "route" },
    { ObjectKind::Zone, "zone" },
    { ObjectKind::Preset, "preset" },
    { ObjectKind::PresetInForce, "preset_in_force" },
} };

constexpr auto SERVICE_KIND_NAMES = base::EnumTable<ServiceKind, 2> { {
    { ServiceKind::Engine, "engine" },
    { ServiceKind::Plain, "plain" },
} };

// The parse functions record errors in the reader; its finish() returns them.
auto parseWorkspace(base::ObjectReader &reader) -> Workspace;
auto parseKey(base::ObjectReader &reader) -> Key;
auto parseService(base::ObjectReader &reader) -> Service;
auto parseRoute(base::ObjectReader &reader) -> Route;
auto parseZone(base::ObjectReader &reader) -> Zone;
auto parsePreset(base::ObjectReader &reader) -> Preset;

auto toJson(const Workspace &workspace) -> boost::json::object;
auto toJson(const Key &key) -> boost::json::object;
auto toJson(const Service &service) -> boost::json::object;
auto toJson(const Route &route) -> boost::json::object;
auto toJson(const Zone &zone) -> boost::json::object;
auto toJson(const Preset &preset) -> boost::json::object;

//! Returns the configuration as one declaration file, without its version.
auto toJson(const Configuration &configuration) -> boost::json::object;

} // namespace nutmegplank::version::configuration
