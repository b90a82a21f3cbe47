
ss"sssss"ssssss*