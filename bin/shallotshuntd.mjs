#!/usr/bin/env node
import '../dist/shallotshuntd.mjs';
