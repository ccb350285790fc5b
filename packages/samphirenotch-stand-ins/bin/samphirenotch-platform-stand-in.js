#!/usr/bin/env node
// Exists before the build, so that npm links it when it installs.
import '../dist/platformMain.js';
