package document

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("document").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrSyntax reports text that is not in INI format; the message names the file.
var ErrSyntax = namespace.NewType("syntax")

// ErrField reports an unknown, repeated, missing or invalid section or key; the message names the file, line, section, key
// and what is allowed.
var ErrField = namespace.NewType("field")
