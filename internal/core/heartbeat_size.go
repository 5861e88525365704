package core
