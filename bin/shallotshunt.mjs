#!/usr/bin/env node
import '../dist/shallotshunt.mjs';
