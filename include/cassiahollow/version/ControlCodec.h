#pragma once

#include "cassiahollow/version/ControlLog.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace cassiahollow {

/// Encodes and decodes the body of an Envelope of kind CONTROL. Decoding fails with MessageMalformed; it never throws.
std::string encodeControlMessage(const ControlMessage&);
boost::leaf::result<ControlMessage> decodeControlMessage(std::string_view);

/// Encodes and decodes a journal record: a PersistAction without its snapshot. Decoding fails with MessageMalformed.
std::string encodeControlRecord(const PersistAction&);
boost::leaf::result<PersistAction> decodeControlRecord(std::string_view);

/// Encodes and decodes a snapshot. Decoding fails with MessageMalformed. The decoded snapshot is never null.
std::string encodeControlSnapshot(const ControlSnapshot&);
boost::leaf::result<std::shared_ptr<const ControlSnapshot>> decodeControlSnapshot(std::string_view);

/// Encodes and decodes a settings tree for files and for instances that request it. Settings unknown to this version
/// are kept. Decoding fails with MessageMalformed.
std::string encodeSettings(const SettingsTree&);
boost::leaf::result<SettingsTree> decodeSettings(std::string_view);

} // namespace cassiahollow
